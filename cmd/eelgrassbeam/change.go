package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

// change is one change that the command sends.
type change struct {
	id eelgrassbeam.ChangeID
	// base made the version that the change rests on; empty where the entry chooses it.
	base eelgrassbeam.ChangeID
	// send sends the change; repeats under the same id have no further effect.
	send func(context.Context, *genoperator.Client) (json.RawMessage, error)
}

// storedChange is the part of a stored configuration that names it.
type storedChange struct {
	Version uint64              `json:"version"`
	Change  eelgrassbeam.Change `json:"change"`
}

// makeChange sends the change, reports what is stored and waits for it where asked to.
func (s *session) makeChange(ctx context.Context, c change) error {
	stored, err := s.store(ctx, c)
	if err != nil {
		return err
	}
	if s.options.dryRun {
		return s.printDryRun()
	}
	if err := s.printStored(stored); err != nil || !s.options.wait {
		return err
	}
	return s.awaitInForce(ctx, stored.Version)
}

// store sends the change to the entries in order. After a lost answer it repeats the change under its id,
// which reads back whether it is stored, until the time is up.
func (s *session) store(ctx context.Context, c change) (storedChange, error) {
	isLost := false
	for {
		var faults []error
		for _, conn := range s.connections {
			document, err := attempt(ctx, conn, c.send)
			if err == nil {
				return decode[storedChange](document)
			}
			if conn.isRefused() && isLost {
				return s.resolve(ctx, c, err)
			}
			if conn.isRefused() {
				return ownConflict(c, err)
			}
			isLost = isLost || mayBeStored(conn, err)
			faults = append(faults, fmt.Errorf("%s: %w", conn.address, err))
		}
		cause := errors.Join(faults...)
		if !isLost {
			return storedChange{}, cause
		}
		if !s.pause(ctx) {
			return storedChange{}, &unknownError{changeID: string(c.id), cause: cause}
		}
	}
}

// ownConflict returns the change where the refusal is a conflict with the change itself.
func ownConflict(c change, refusal error) (storedChange, error) {
	var conflict *genoperator.ConflictError
	if errors.As(refusal, &conflict) && conflict.ChangeID == string(c.id) {
		return storedChange{Version: conflict.Version, Change: eelgrassbeam.Change{ID: c.id, Author: conflict.Author}}, nil
	}
	return storedChange{}, refusal
}

// resolve finds out what a conflict after a lost answer means: the change may be stored and overtaken. It reads
// the configuration until the conflicting version is in force there and looks through its recent changes.
func (s *session) resolve(ctx context.Context, c change, refusal error) (storedChange, error) {
	if stored, err := ownConflict(c, refusal); err == nil {
		return stored, nil
	}
	unknown := &unknownError{changeID: string(c.id), cause: refusal}
	var conflict *genoperator.ConflictError
	if !errors.As(refusal, &conflict) {
		return storedChange{}, unknown
	}
	for {
		_, current, err := s.configuration(ctx)
		switch {
		case err != nil || current.Version < conflict.Version:
			if !s.pause(ctx) {
				return storedChange{}, unknown
			}
		case current.Includes(c.id):
			return storedChange{Version: current.Version, Change: eelgrassbeam.Change{ID: c.id, Author: s.options.author}}, nil
		case c.base != "" && current.Includes(c.base):
			return storedChange{}, refusal
		default:
			return storedChange{}, unknown
		}
	}
}

// mayBeStored tells whether a failed call may have taken effect.
func mayBeStored(c *connection, err error) bool {
	var unavailable *genoperator.UnavailableError
	if errors.As(err, &unavailable) {
		return true
	}
	var refusal interface{ GoaErrorName() string }
	if errors.As(err, &refusal) && refusal.GoaErrorName() == "not_ready" {
		return false
	}
	return c.sent.Load()
}

// awaitInForce waits until all live entries confirm the version.
func (s *session) awaitInForce(ctx context.Context, version uint64) error {
	var last operator.Confirmation
	for {
		status, err := s.status(ctx)
		if err == nil {
			last = status.Confirmation(version)
		}
		if last.IsComplete() {
			return s.printConfirmation(last)
		}
		if !s.pause(ctx) {
			return errors.Join(s.printConfirmation(last), errNotInForce)
		}
	}
}

// pause waits for the next round; false when the time is up.
func (s *session) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(retryPause):
		return ctx.Err() == nil
	}
}

// optional returns a pointer to the text, nil where it is empty.
func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
