// Package changer stores configuration changes in the platform, each as one conditional update.
package changer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// Kind is the platform kind of the configuration object.
	Kind = "configuration"
	// Name is the name of the configuration object.
	Name = "fleet"
	// MaxValueBytes bounds the stored configuration.
	MaxValueBytes = 1 << 20
)

// ErrOutcomeUnknown reports that the change may or may not be stored; read the configuration before trying again.
var ErrOutcomeUnknown = errors.New("change may be stored")

// ConflictError reports that another change came first; nothing of this one is stored.
type ConflictError struct {
	// Version and Other are the configuration that stands now.
	Version uint64
	Other   eelgrassbeam.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("nothing is stored: change %q by %q at %s came first and made version %d: read it and try again",
		e.Other.ID, e.Other.Author, e.Other.At.Format(time.RFC3339), e.Version)
}

// Unwrap returns eelgrassbeam.ErrConflict.
func (e *ConflictError) Unwrap() error { return eelgrassbeam.ErrConflict }

// Config configures a Changer.
type Config struct {
	Store eelgrassbeam.Store
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}

// Changer stores changes; it keeps nothing between calls.
type Changer struct {
	config Config
	// trustsErrors takes each error as a change that is not stored; tests only.
	trustsErrors bool
}

// New returns a changer.
func New(config Config) *Changer { return &Changer{config: config} }

// Decode returns the configuration in the object, under the object's version.
func Decode(object eelgrassbeam.Object) (eelgrassbeam.Configuration, error) {
	var configuration eelgrassbeam.Configuration
	if err := json.Unmarshal(object.Value, &configuration); err != nil {
		return configuration, fmt.Errorf("%w: version %d: %w", eelgrassbeam.ErrInvalid, object.Version, err)
	}
	return configuration.WithVersion(object.Version), nil
}

// Read returns the stored configuration; an error wraps eelgrassbeam.ErrNotFound before there is one.
func (c *Changer) Read(ctx context.Context) (eelgrassbeam.Configuration, error) {
	object, err := c.config.Store.Get(ctx, Kind, Name)
	if err != nil {
		return eelgrassbeam.Configuration{}, fmt.Errorf("read configuration: %w", err)
	}
	return Decode(object)
}

// Change stores what mutate makes of the stored configuration under a new change id and returns it as stored.
// Errors are those of ChangeAs.
func (c *Changer) Change(
	ctx context.Context, mutate func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error), author, note string,
) (eelgrassbeam.Configuration, error) {
	change := eelgrassbeam.Change{ID: eelgrassbeam.ChangeID(uuid.NewString()), Author: author, At: c.config.Clock.Now().UTC(), Note: note}
	return c.ChangeAs(ctx, mutate, change)
}

// ChangeAs stores what mutate makes of the stored configuration under the change and returns it as stored.
// Mutate gets the zero Configuration before there is one. Errors: ConflictError where another change came first,
// ErrOutcomeUnknown where the context ended before the outcome was known; after any other error nothing is stored.
func (c *Changer) ChangeAs(
	ctx context.Context, mutate func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error), change eelgrassbeam.Change,
) (eelgrassbeam.Configuration, error) {
	base, err := c.Read(ctx)
	if err != nil && !errors.Is(err, eelgrassbeam.ErrNotFound) {
		return eelgrassbeam.Configuration{}, err
	}
	next, err := mutate(base)
	if err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	next = next.WithVersion(base.Version).WithChange(change).WithRecentChanges(pushChange(base))
	stored, err := c.store(ctx, base, next)
	c.logResult(stored, change, err)
	return stored, err
}

func (c *Changer) logResult(stored eelgrassbeam.Configuration, change eelgrassbeam.Change, err error) {
	fields := logrus.Fields{"event": "config_change", "change": string(change.ID), "author": change.Author, "version": stored.Version}
	if err != nil {
		c.config.Log.WithFields(fields).WithField("error", err).Warn("")
		return
	}
	c.config.Log.WithFields(fields).Info("")
}

// pushChange returns the base's recent changes with the base's own before them.
func pushChange(base eelgrassbeam.Configuration) []eelgrassbeam.Change {
	if base.Version == 0 {
		return nil
	}
	last := base.Change
	last.Note = ""
	recent := append([]eelgrassbeam.Change{last}, base.RecentChanges...)
	return recent[:min(len(recent), eelgrassbeam.MaxRecentChanges)]
}
