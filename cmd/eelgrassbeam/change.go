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

// change is a configuration change for the entries to store.
type change struct {
	id eelgrassbeam.ChangeID
	// base is the version on which this change is based, and the change that made it; zero if the entry chooses the
	// version.
	base storedChange
	// send sends the change to one entry. Sending it again under the same id has no further effect.
	send func(context.Context, *genoperator.Client) (json.RawMessage, error)
}

// storedChange is the part of a stored configuration that identifies it.
type storedChange struct {
	Version uint64              `json:"version"`
	Era     uint64              `json:"era,omitempty"`
	Change  eelgrassbeam.Change `json:"change"`
}

func (c storedChange) revision() eelgrassbeam.Revision {
	return eelgrassbeam.NewRevision(c.Era, c.Version)
}

func revisionOf(conflict *genoperator.ConflictError) eelgrassbeam.Revision {
	return eelgrassbeam.NewRevision(conflict.Era, conflict.Version)
}

// submitChange stores the change and prints the stored version. With --wait, it waits until that version is in force.
func (s *session) submitChange(ctx context.Context, c change) error {
	stored, err := s.storeChange(ctx, c)
	if err != nil {
		return err
	}
	if s.options.dryRun {
		return s.printDryRun()
	}
	if err := s.printStored(stored); err != nil || !s.options.wait {
		return err
	}
	return s.awaitInForce(ctx, stored)
}

// storeChange sends the change to the entries in order until one stores or rejects it. If an answer is lost, the
// change may be stored, so it is sent again under the same id, which reads back the stored change if there is one.
// This repeats until ctx ends.
func (s *session) storeChange(ctx context.Context, c change) (storedChange, error) {
	outcomeUnknown := false
	for {
		var errs []error
		for _, conn := range s.connections {
			document, err := attempt(ctx, conn, c.send)
			if err == nil {
				return decode[storedChange](document)
			}
			if conn.isRejected() && outcomeUnknown {
				return s.resolveConflict(ctx, c, err)
			}
			if conn.isRejected() {
				return acceptOwnConflict(c, err)
			}
			outcomeUnknown = outcomeUnknown || mayBeStored(conn, err)
			errs = append(errs, fmt.Errorf("%s: %w", conn.address, err))
		}
		cause := errors.Join(errs...)
		if !outcomeUnknown {
			return storedChange{}, cause
		}
		if !s.waitForRetry(ctx) {
			return storedChange{}, &unknownOutcomeError{changeID: string(c.id), cause: cause}
		}
	}
}

// acceptOwnConflict returns the change as stored if it was rejected as a conflict with itself, which means that an
// earlier attempt was stored. Otherwise it returns the rejection.
func acceptOwnConflict(c change, rejection error) (storedChange, error) {
	var conflict *genoperator.ConflictError
	if errors.As(rejection, &conflict) && conflict.ChangeID == string(c.id) {
		return storedChange{Version: conflict.Version, Era: conflict.Era, Change: eelgrassbeam.Change{ID: c.id, Author: conflict.Author}}, nil
	}
	return storedChange{}, rejection
}

// resolveConflict determines the outcome of a change whose answer was lost and whose next attempt was rejected. If it
// conflicts with another change, it may have been stored before that one. resolveConflict reads the configuration
// until the conflicting version is in force at the entry asked and searches its recent changes. If they list only the
// base of the change, the change was not stored; if they list neither, or the store was restored since the base, the
// outcome stays unknown.
func (s *session) resolveConflict(ctx context.Context, c change, rejection error) (storedChange, error) {
	if stored, err := acceptOwnConflict(c, rejection); err == nil {
		return stored, nil
	}
	unknown := &unknownOutcomeError{changeID: string(c.id), cause: rejection}
	var conflict *genoperator.ConflictError
	if !errors.As(rejection, &conflict) {
		return storedChange{}, unknown
	}
	for {
		_, current, err := s.configuration(ctx)
		switch {
		case err != nil || current.Revision() < revisionOf(conflict):
			if !s.waitForRetry(ctx) {
				return storedChange{}, unknown
			}
		case current.IncludesChange(c.id):
			return storedChange{Version: current.Version, Era: current.Era, Change: eelgrassbeam.Change{ID: c.id, Author: s.options.author}}, nil
		case c.base.Change.ID != "" && c.base.Era == current.Era && current.IncludesChange(c.base.Change.ID):
			return storedChange{}, rejection
		default:
			return storedChange{}, unknown
		}
	}
}

// mayBeStored reports whether a failed call may have taken effect.
func mayBeStored(c *connection, err error) bool {
	var unavailable *genoperator.UnavailableError
	if errors.As(err, &unavailable) {
		return true
	}
	var goaError interface{ GoaErrorName() string }
	if errors.As(err, &goaError) && goaError.GoaErrorName() == "not_ready" {
		return false
	}
	return c.gotConn.Load()
}

// awaitInForce waits until all live entries confirm the stored change. It returns errNotInForce if ctx ends first, or
// errLost if the store was restored meanwhile and the configuration in force does not list the change.
func (s *session) awaitInForce(ctx context.Context, stored storedChange) error {
	var last operator.Confirmation
	for {
		status, err := s.status(ctx)
		if err == nil && status.StoredEra > stored.Era {
			stored, err = s.followRestoration(ctx, stored)
		}
		if errors.Is(err, errLost) {
			return err
		}
		if err == nil {
			last = status.Confirmation(stored.revision())
		}
		if last.IsComplete() {
			return s.printConfirmation(last)
		}
		if !s.waitForRetry(ctx) {
			return errors.Join(s.printConfirmation(last), errNotInForce)
		}
	}
}

// followRestoration returns the change under its version of the store's present era, once a configuration of that era is
// in force at the entry asked. It returns errLost if that configuration doesn't list the change.
func (s *session) followRestoration(ctx context.Context, stored storedChange) (storedChange, error) {
	_, current, err := s.configuration(ctx)
	if err != nil || current.Era <= stored.Era {
		return stored, err
	}
	if !current.IncludesChange(stored.Change.ID) {
		return stored, errLost
	}
	stored.Version, stored.Era = current.Version, current.Era
	return stored, nil
}

// waitForRetry waits for retryInterval. It reports false if ctx has ended.
func (s *session) waitForRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(retryInterval):
		return ctx.Err() == nil
	}
}

// optional returns a pointer to the text, or nil if it is empty.
func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
