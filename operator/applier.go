package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
)

// ErrNotStored reports that the platform did not answer and that the change is certainly not stored.
var ErrNotStored = errors.New("the platform does not answer; nothing is stored")

// Mutation returns the configuration to store in place of the stored one.
type Mutation = func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error)

// ConfigWriter reads and changes the stored configuration; configwriter.ConfigWriter implements it.
type ConfigWriter interface {
	Read(ctx context.Context) (eelgrassbeam.Configuration, error)
	// ApplyChange applies mutate to the stored configuration and stores the result under the given change.
	ApplyChange(ctx context.Context, mutate Mutation, change eelgrassbeam.Change) (eelgrassbeam.Configuration, error)
}

// Applier implements the Apply method of Backend with a ConfigWriter.
type Applier struct {
	ConfigWriter ConfigWriter
}

// Apply implements Backend.
func (a Applier) Apply(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error) {
	if change.DryRun {
		return a.dryRun(ctx, change)
	}
	var included *eelgrassbeam.Configuration
	stored, err := a.ConfigWriter.ApplyChange(ctx, func(base eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		next, err := change.ApplyTo(base)
		if errors.Is(err, ErrAlreadyStored) {
			included = &base
		}
		return next, err
	}, change.Configuration.Change)
	if errors.Is(err, ErrAlreadyStored) {
		return included, nil
	}
	if err != nil {
		return nil, a.translateError(ctx, err)
	}
	return &stored, nil
}

// dryRun compares the expected version with the stored one and validates the configuration without storing it.
func (a Applier) dryRun(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error) {
	stored, err := a.ConfigWriter.Read(ctx)
	if err != nil && !errors.Is(err, eelgrassbeam.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	next, err := change.ApplyTo(stored)
	if err != nil && !errors.Is(err, ErrAlreadyStored) {
		return nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return &next, nil
}

// translateError maps the config writer's errors to those documented on Backend.
func (a Applier) translateError(ctx context.Context, err error) error {
	var conflict *ConflictError
	switch {
	case errors.Is(err, configwriter.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", eelgrassbeam.ErrUnavailable, err)
	case errors.As(err, &conflict):
		return conflict
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return a.conflictError(ctx, err)
	case errors.Is(err, eelgrassbeam.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrNotStored, err)
	default:
		return err
	}
}

// conflictError reads the stored configuration, which includes the change that was stored first, and returns it in a
// *ConflictError.
func (a Applier) conflictError(ctx context.Context, err error) error {
	stored, readErr := a.ConfigWriter.Read(ctx)
	if readErr != nil {
		return fmt.Errorf("%w: %w", ErrNotStored, errors.Join(err, readErr))
	}
	return &ConflictError{Stored: stored}
}
