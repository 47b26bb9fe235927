package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/changer"
)

// ErrNotStored reports that the platform did not answer and that nothing of the change is stored.
var ErrNotStored = errors.New("the platform does not answer; nothing is stored")

// Mutation makes the next configuration of the stored one.
type Mutation = func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error)

// Changer reads and changes the stored configuration.
type Changer interface {
	Read(ctx context.Context) (eelgrassbeam.Configuration, error)
	// ChangeAs stores what mutate makes of the stored configuration under the change.
	ChangeAs(ctx context.Context, mutate Mutation, change eelgrassbeam.Change) (eelgrassbeam.Configuration, error)
}

// Applier implements Backend's Apply over a Changer.
type Applier struct {
	Changer Changer
}

// Apply implements Backend.
func (a Applier) Apply(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error) {
	if change.DryRun {
		return a.check(ctx, change)
	}
	var included *eelgrassbeam.Configuration
	stored, err := a.Changer.ChangeAs(ctx, func(base eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		next, err := change.Over(base)
		if errors.Is(err, ErrIncluded) {
			included = &base
		}
		return next, err
	}, change.Configuration.Change)
	if errors.Is(err, ErrIncluded) {
		return included, nil
	}
	if err != nil {
		return nil, a.turn(ctx, err)
	}
	return &stored, nil
}

// check compares the expected version and checks the set without storing it.
func (a Applier) check(ctx context.Context, change Change) (*eelgrassbeam.Configuration, error) {
	stored, err := a.Changer.Read(ctx)
	if err != nil && !errors.Is(err, eelgrassbeam.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	next, err := change.Over(stored)
	if err != nil && !errors.Is(err, ErrIncluded) {
		return nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return &next, nil
}

// turn turns the changer's errors into those that Backend names.
func (a Applier) turn(ctx context.Context, err error) error {
	var own *ConflictError
	switch {
	case errors.Is(err, changer.ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", eelgrassbeam.ErrUnavailable, err)
	case errors.As(err, &own):
		return own
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return a.conflict(ctx, err)
	case errors.Is(err, eelgrassbeam.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrNotStored, err)
	default:
		return err
	}
}

// conflict names what is stored after a race that another change won.
func (a Applier) conflict(ctx context.Context, err error) error {
	stored, readErr := a.Changer.Read(ctx)
	if readErr != nil {
		return fmt.Errorf("%w: %w", ErrNotStored, errors.Join(err, readErr))
	}
	return &ConflictError{Stored: stored}
}
