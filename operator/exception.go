package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// changeTimeout bounds a change, including its rebases.
const changeTimeout = 3 * time.Second

// maxRebases is the maximum number of times that a change of one exception is rebased on other operators' changes.
const maxRebases = 4

// AddException adds an exception. The change is rebased on the stored configuration, so that unrelated changes do not
// conflict.
func (s *service) AddException(
	ctx context.Context, payload *genoperator.AddExceptionPayload,
) (*genoperator.AddExceptionResult, error) {
	meta, err := s.newChange(payload.ChangeID, payload.Author, payload.Note)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	exception, err := newException(payload, meta)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	stored, err := s.editExceptions(ctx, meta, func(stored []eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error) {
		i := indexOf(stored, exception.ID)
		if i < 0 {
			return append(slices.Clone(stored), exception), nil
		}
		if isSameException(stored[i], exception) {
			return nil, errUnchanged
		}
		return nil, fmt.Errorf("%w: exception id %q is taken by another exception", eelgrassbeam.ErrInvalid, exception.ID)
	})
	if err != nil {
		return nil, err
	}
	return &genoperator.AddExceptionResult{Document: stored}, nil
}

// ListExceptions returns the exceptions of the configuration in force at this entry.
func (s *service) ListExceptions(context.Context) (*genoperator.ListExceptionsResult, error) {
	configuration, ok := s.config.Backend.Configuration()
	if !ok {
		return nil, genoperator.MakeNotReady(errNoConfiguration)
	}
	exceptions := configuration.Exceptions
	if exceptions == nil {
		exceptions = []eelgrassbeam.Exception{}
	}
	document, err := json.Marshal(exceptions)
	return &genoperator.ListExceptionsResult{Document: document}, err
}

// RemoveException removes one exception.
func (s *service) RemoveException(
	ctx context.Context, payload *genoperator.RemoveExceptionPayload,
) (*genoperator.RemoveExceptionResult, error) {
	meta, err := s.newChange(payload.ChangeID, payload.Author, payload.Note)
	if err != nil {
		return nil, apiError(err, meta.ID)
	}
	stored, err := s.editExceptions(ctx, meta, func(stored []eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error) {
		i := indexOf(stored, payload.ID)
		if i < 0 {
			return nil, genoperator.MakeNotFound(fmt.Errorf("no exception %q", payload.ID))
		}
		return slices.Delete(slices.Clone(stored), i, i+1), nil
	})
	if err != nil {
		return nil, err
	}
	return &genoperator.RemoveExceptionResult{Document: stored}, nil
}

// errUnchanged reports that the stored exceptions already have the wanted state.
var errUnchanged = errors.New("unchanged")

// editExceptions applies mutate to the exceptions and stores the result as the given change. It rebases the change if
// another one was stored in the meantime. It returns the stored configuration as JSON.
func (s *service) editExceptions(
	ctx context.Context, meta eelgrassbeam.Change,
	mutate func([]eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error),
) (json.RawMessage, error) {
	current, ok := s.config.Backend.Configuration()
	if !ok {
		return nil, genoperator.MakeNotReady(errNoConfiguration)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	base := *current
	for rebase := 0; ; rebase++ {
		stored, err := s.tryEditExceptions(ctx, meta, base, mutate)
		var conflict *ConflictError
		if errors.As(err, &conflict) && conflict.Stored.Supersedes(&base) && rebase < maxRebases {
			base = conflict.Stored
			continue
		}
		if err != nil {
			return nil, apiError(err, meta.ID)
		}
		return json.Marshal(stored)
	}
}

// tryEditExceptions applies mutate to the exceptions of base and stores the result if base is still stored.
func (s *service) tryEditExceptions(
	ctx context.Context, meta eelgrassbeam.Change, base eelgrassbeam.Configuration,
	mutate func([]eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error),
) (*eelgrassbeam.Configuration, error) {
	// A rebase after the timeout could undo what the operator has since done through another entry.
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	change := Change{Configuration: eelgrassbeam.Configuration{Change: meta}}
	exceptions, rejection := mutate(base.Exceptions)
	if errors.Is(rejection, errUnchanged) {
		return &base, nil
	}
	if rejection != nil {
		return s.confirmRejection(ctx, change.RebasedOn(base, base.Exceptions), rejection)
	}
	change = change.RebasedOn(base, exceptions)
	if err := change.Configuration.Validate(); err != nil {
		return nil, err
	}
	return s.apply(ctx, change)
}

// confirmRejection makes a dry run to find out whether base is still stored, since this entry's configuration may lag
// behind the stored one. It returns the rejection if so and a conflict otherwise. If the change is already stored, it
// returns the stored configuration.
func (s *service) confirmRejection(ctx context.Context, base Change, rejection error) (*eelgrassbeam.Configuration, error) {
	base.DryRun = true
	checked, err := s.config.Backend.Apply(ctx, base)
	if err != nil {
		return nil, err
	}
	// A dry run returns version 0 unless the change is already stored.
	if checked.Version > 0 {
		return checked, nil
	}
	return nil, rejection
}

func newException(payload *genoperator.AddExceptionPayload, meta eelgrassbeam.Change) (eelgrassbeam.Exception, error) {
	exception := eelgrassbeam.Exception{
		ID:        valueOf(payload.ID),
		Target:    payload.Target,
		Value:     payload.Value,
		Reason:    payload.Reason,
		Author:    meta.Author,
		CreatedAt: meta.At,
	}
	if exception.ID == "" {
		exception.ID = string(meta.ID)
	}
	var lifetime eelgrassbeam.Duration
	faults := []error{
		exception.Setting.UnmarshalText([]byte(payload.Setting)),
		exception.TargetKind.UnmarshalText([]byte(payload.TargetKind)),
	}
	if payload.ExpiresIn != nil {
		faults = append(faults, lifetime.UnmarshalText([]byte(*payload.ExpiresIn)))
	}
	if err := errors.Join(faults...); err != nil {
		return exception, err
	}
	if lifetime.Duration > 0 {
		exception.ExpiresAt = meta.At.Add(lifetime.Duration)
	}
	return exception, exception.Validate()
}

func indexOf(exceptions []eelgrassbeam.Exception, id string) int {
	return slices.IndexFunc(exceptions, func(e eelgrassbeam.Exception) bool { return e.ID == id })
}

// isSameException reports whether the setting, the target, the value and the reason are equal. It ignores the author,
// and the times, which differ when a request is repeated.
func isSameException(a, b eelgrassbeam.Exception) bool {
	return a.Setting == b.Setting && a.TargetKind == b.TargetKind && a.Target == b.Target &&
		a.Value == b.Value && a.Reason == b.Reason
}
