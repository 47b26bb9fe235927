// Package configwriter stores configuration changes in the platform. Each change is a single conditional update.
package configwriter

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
	// Kind is the kind of the platform object that holds the configuration.
	Kind = "configuration"
	// Name is the name of the configuration object.
	Name = "fleet"
	// MaxValueBytes is the maximum size of the stored configuration, which is the platform's limit for one object.
	MaxValueBytes = 1 << 20
)

// ErrOutcomeUnknown reports that the change may or may not have been stored; read the configuration before retrying.
var ErrOutcomeUnknown = errors.New("change may be stored")

// ConflictError reports that another version is stored than the base; nothing of the refused change is stored.
type ConflictError struct {
	// Version and Change identify the configuration that is stored now.
	Version eelgrassbeam.Revision
	Change  eelgrassbeam.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict, nothing stored: change %q by %q at %s is stored as version %s; read it and retry",
		e.Change.ID, e.Change.Author, e.Change.At.Format(time.RFC3339), e.Version)
}

// Unwrap returns eelgrassbeam.ErrConflict.
func (e *ConflictError) Unwrap() error { return eelgrassbeam.ErrConflict }

// Config configures a ConfigWriter.
type Config struct {
	Store eelgrassbeam.Store
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}

// ConfigWriter stores changes. It keeps no state between calls.
type ConfigWriter struct {
	config Config
	// trustsErrors treats every error as proof that the change is not stored; for tests only.
	trustsErrors bool
}

// New returns a ConfigWriter.
func New(config Config) *ConfigWriter { return &ConfigWriter{config: config} }

// Decode decodes the configuration in the object and sets its revision to the object's. Errors wrap
// eelgrassbeam.ErrInvalid.
func Decode(object eelgrassbeam.Object) (eelgrassbeam.Configuration, error) {
	var configuration eelgrassbeam.Configuration
	if err := json.Unmarshal(object.Value, &configuration); err != nil {
		return configuration, fmt.Errorf("%w: version %s: %w", eelgrassbeam.ErrInvalid, object.Version, err)
	}
	return configuration.WithRevision(object.Version), nil
}

// Read returns the stored configuration. The error wraps eelgrassbeam.ErrNotFound if none is stored yet.
func (c *ConfigWriter) Read(ctx context.Context) (eelgrassbeam.Configuration, error) {
	object, err := c.config.Store.Get(ctx, Kind, Name)
	if err != nil {
		return eelgrassbeam.Configuration{}, fmt.Errorf("read configuration: %w", err)
	}
	return Decode(object)
}

// Change applies mutate to the stored configuration and stores the result under a new change ID. Results and errors
// are those of ApplyChange.
func (c *ConfigWriter) Change(
	ctx context.Context, mutate func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error), author, note string,
) (eelgrassbeam.Configuration, error) {
	change := eelgrassbeam.Change{ID: eelgrassbeam.ChangeID(uuid.NewString()), Author: author, At: c.config.Clock.Now().UTC(), Note: note}
	return c.ApplyChange(ctx, mutate, change)
}

// ApplyChange applies mutate to the stored configuration, stores the result under the given change and returns it as
// stored. If none is stored yet, mutate gets the zero Configuration. The error is a *ConflictError if another change
// was stored first, and wraps ErrOutcomeUnknown if an attempt got no answer and it could not be determined whether the
// change is stored. After any other error nothing is stored.
func (c *ConfigWriter) ApplyChange(
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
	next = next.WithRevision(base.Revision()).WithChange(change).WithRecentChanges(nextRecentChanges(base))
	stored, err := c.store(ctx, base, next)
	c.logResult(stored, change, err)
	return stored, err
}

func (c *ConfigWriter) logResult(stored eelgrassbeam.Configuration, change eelgrassbeam.Change, err error) {
	fields := logrus.Fields{"event": "config_change", "change": string(change.ID), "author": change.Author, "version": stored.Version, "era": stored.Era}
	if err != nil {
		c.config.Log.WithFields(fields).WithField("error", err).Warn("")
		return
	}
	c.config.Log.WithFields(fields).Info("")
}

// nextRecentChanges returns the recent changes of the next configuration: the base's own change, without its note,
// followed by the base's recent changes.
func nextRecentChanges(base eelgrassbeam.Configuration) []eelgrassbeam.Change {
	if base.Version == 0 {
		return nil
	}
	last := base.Change
	last.Note = ""
	recent := append([]eelgrassbeam.Change{last}, base.RecentChanges...)
	return recent[:min(len(recent), eelgrassbeam.MaxRecentChanges)]
}
