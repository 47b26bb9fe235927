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

// changeCall sends one change; repeats under the same change id have no further effect.
type changeCall func(context.Context, *genoperator.Client) (json.RawMessage, error)

// change sends the change, reports what is stored and waits for it where asked to.
func (s *session) change(ctx context.Context, id eelgrassbeam.ChangeID, call changeCall) error {
	stored, err := s.store(ctx, id, call)
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
func (s *session) store(ctx context.Context, id eelgrassbeam.ChangeID, call changeCall) (storedChange, error) {
	isLost := false
	for {
		var faults []error
		for _, c := range s.connections {
			document, err := attempt(ctx, c, call)
			if err == nil {
				return decode[storedChange](document)
			}
			if c.isRefused() {
				return resolve(id, isLost, err)
			}
			isLost = isLost || mayBeStored(c, err)
			faults = append(faults, fmt.Errorf("%s: %w", c.address, err))
		}
		cause := errors.Join(faults...)
		if !isLost {
			return storedChange{}, cause
		}
		if !s.pause(ctx) {
			return storedChange{}, &unknownError{changeID: string(id), cause: cause}
		}
	}
}

// storedChange is the part of a stored configuration that names it.
type storedChange struct {
	Version uint64              `json:"version"`
	Change  eelgrassbeam.Change `json:"change"`
}

// resolve decides what a refusal means: after a lost answer it may be the change's own effect that is refused.
func resolve(id eelgrassbeam.ChangeID, isLost bool, refusal error) (storedChange, error) {
	var conflict *genoperator.ConflictError
	if errors.As(refusal, &conflict) && conflict.ChangeID == string(id) {
		return storedChange{Version: conflict.Version, Change: eelgrassbeam.Change{ID: id, Author: conflict.Author}}, nil
	}
	if isLost {
		return storedChange{}, &unknownError{changeID: string(id), cause: refusal}
	}
	return storedChange{}, refusal
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
