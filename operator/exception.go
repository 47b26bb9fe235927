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

// changeTimeout bounds one change, its rebases included.
const changeTimeout = 3 * time.Second

// maxRebases bounds how often a change of one exception is rebased on another operator's change.
const maxRebases = 4

// AddException stores one more exception; it rests on whatever is stored, so unrelated changes do not conflict.
func (s *service) AddException(
	ctx context.Context, payload *genoperator.AddExceptionPayload,
) (*genoperator.AddExceptionResult, error) {
	made, err := s.change(payload.ChangeID, payload.Author, payload.Note)
	if err != nil {
		return nil, wireError(err, made.ID)
	}
	exception, err := exceptionOf(payload, made)
	if err != nil {
		return nil, wireError(err, made.ID)
	}
	stored, err := s.edit(ctx, made, func(stored []eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error) {
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

// ListExceptions returns the exceptions at this entry.
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
	made, err := s.change(payload.ChangeID, payload.Author, payload.Note)
	if err != nil {
		return nil, wireError(err, made.ID)
	}
	stored, err := s.edit(ctx, made, func(stored []eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error) {
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

// errUnchanged reports that the stored exceptions already are as wanted.
var errUnchanged = errors.New("unchanged")

// edit applies a change of the exceptions and rebases it when another change was stored meanwhile.
func (s *service) edit(
	ctx context.Context, made eelgrassbeam.Change,
	change func([]eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error),
) (json.RawMessage, error) {
	current, ok := s.config.Backend.Configuration()
	if !ok {
		return nil, genoperator.MakeNotReady(errNoConfiguration)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	base := *current
	for rebase := 0; ; rebase++ {
		stored, err := s.editOnce(ctx, made, base, change)
		var conflict *ConflictError
		if errors.As(err, &conflict) && conflict.Stored.Version > base.Version && rebase < maxRebases {
			base = conflict.Stored
			continue
		}
		if err != nil {
			return nil, wireError(err, made.ID)
		}
		return json.Marshal(stored)
	}
}

// editOnce applies a change of the base's exceptions if the base is still stored.
func (s *service) editOnce(
	ctx context.Context, made eelgrassbeam.Change, base eelgrassbeam.Configuration,
	change func([]eelgrassbeam.Exception) ([]eelgrassbeam.Exception, error),
) (*eelgrassbeam.Configuration, error) {
	// A rebase after its time could undo what the operator has done since at another entry.
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	want := Change{Configuration: eelgrassbeam.Configuration{Change: made}}
	exceptions, refusal := change(base.Exceptions)
	if errors.Is(refusal, errUnchanged) {
		return &base, nil
	}
	if refusal != nil {
		return s.confirmRefusal(ctx, want.WithBase(base, base.Exceptions), refusal)
	}
	want = want.WithBase(base, exceptions)
	if err := want.Configuration.Validate(); err != nil {
		return nil, err
	}
	return s.apply(ctx, want)
}

// confirmRefusal returns the refusal if its base is still stored, else the conflict, as the base at this entry may
// lag. Where the change is stored already it returns the stored configuration.
func (s *service) confirmRefusal(ctx context.Context, base Change, refusal error) (*eelgrassbeam.Configuration, error) {
	base.DryRun = true
	checked, err := s.config.Backend.Apply(ctx, base)
	if err != nil {
		return nil, err
	}
	if checked.Version > 0 {
		return checked, nil
	}
	return nil, refusal
}

func exceptionOf(payload *genoperator.AddExceptionPayload, made eelgrassbeam.Change) (eelgrassbeam.Exception, error) {
	exception := eelgrassbeam.Exception{
		ID:        valueOf(payload.ID),
		Target:    payload.Target,
		Value:     payload.Value,
		Reason:    payload.Reason,
		Author:    made.Author,
		CreatedAt: made.At,
	}
	if exception.ID == "" {
		exception.ID = string(made.ID)
	}
	var life eelgrassbeam.Duration
	faults := []error{
		exception.Setting.UnmarshalText([]byte(payload.Setting)),
		exception.TargetKind.UnmarshalText([]byte(payload.TargetKind)),
	}
	if payload.ExpiresIn != nil {
		faults = append(faults, life.UnmarshalText([]byte(*payload.ExpiresIn)))
	}
	if err := errors.Join(faults...); err != nil {
		return exception, err
	}
	if life.Duration > 0 {
		exception.ExpiresAt = made.At.Add(life.Duration)
	}
	return exception, exception.Validate()
}

func indexOf(exceptions []eelgrassbeam.Exception, id string) int {
	return slices.IndexFunc(exceptions, func(e eelgrassbeam.Exception) bool { return e.ID == id })
}

// isSameException compares what an operator asks for; times differ between repeats.
func isSameException(a, b eelgrassbeam.Exception) bool {
	return a.Setting == b.Setting && a.TargetKind == b.TargetKind && a.Target == b.Target &&
		a.Value == b.Value && a.Reason == b.Reason
}
