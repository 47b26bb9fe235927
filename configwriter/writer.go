package configwriter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// write is one conditional update and what is known about its outcome.
type write struct {
	configWriter *ConfigWriter
	base         eelgrassbeam.Configuration
	next         eelgrassbeam.Configuration
	value        []byte
	// mayHaveApplied is set once an attempt got no answer, since the write may have taken effect.
	mayHaveApplied bool
}

// store validates next and writes it over base. It retries until the outcome is known or the context ends.
func (c *ConfigWriter) store(ctx context.Context, base, next eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	value, err := encode(next)
	if err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	w := &write{configWriter: c, base: base, next: next, value: value}
	return w.run(ctx)
}

// StoreAgain stores a configuration that the store has lost, under its own change, if the version over is still stored. A
// version whose counter is zero means that no configuration is. The error wraps eelgrassbeam.ErrConflict if another one is
// stored; after any other error it may have taken effect.
func StoreAgain(
	ctx context.Context, store eelgrassbeam.Store, lost eelgrassbeam.Configuration, over eelgrassbeam.Revision,
) (eelgrassbeam.Configuration, error) {
	value, err := encode(lost)
	if err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	object, err := put(ctx, store, over, value)
	if err != nil {
		return eelgrassbeam.Configuration{}, fmt.Errorf("store configuration again: %w", err)
	}
	return lost.WithRevision(object.Version), nil
}

// encode validates the configuration and returns the value to store.
func encode(configuration eelgrassbeam.Configuration) ([]byte, error) {
	if err := configuration.Validate(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(configuration.WithRevision(0))
	if err != nil {
		return nil, fmt.Errorf("%w: encode configuration: %w", eelgrassbeam.ErrInvalid, err)
	}
	if len(value) > MaxValueBytes {
		return nil, fmt.Errorf("%w: configuration has %d bytes: want at most %d", eelgrassbeam.ErrInvalid, len(value), MaxValueBytes)
	}
	return value, nil
}

// put writes the value over the given version, or creates the object if its counter is zero.
func put(ctx context.Context, store eelgrassbeam.Store, over eelgrassbeam.Revision, value []byte) (eelgrassbeam.Object, error) {
	if over.Counter() == 0 {
		return store.Create(ctx, Kind, Name, value)
	}
	return store.Update(ctx, eelgrassbeam.Object{Kind: Kind, Name: Name, Version: over, Value: value})
}

// run retries the write while its outcome is unknown. A retry is safe, since its version condition fails once any
// write has taken effect.
func (w *write) run(ctx context.Context) (eelgrassbeam.Configuration, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryMin, retryMax
	for {
		stored, err := w.attempt(ctx)
		if err == nil || w.configWriter.trustsErrors || !errors.Is(err, eelgrassbeam.ErrUnavailable) {
			return stored, err
		}
		w.mayHaveApplied = true
		select {
		case <-w.configWriter.config.Clock.After(retry.NextBackOff()):
		case <-ctx.Done():
			return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: %w", ErrOutcomeUnknown, w.next.Change.ID, err)
		}
	}
}

func (w *write) attempt(ctx context.Context) (eelgrassbeam.Configuration, error) {
	object, err := put(ctx, w.configWriter.config.Store, w.base.Revision(), w.value)
	switch {
	case err == nil:
		return w.next.WithRevision(object.Version), nil
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return w.resolve(ctx)
	case errors.Is(err, eelgrassbeam.ErrUnavailable) || !w.mayHaveApplied:
		return eelgrassbeam.Configuration{}, fmt.Errorf("store configuration: %w", err)
	default:
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: %w", ErrOutcomeUnknown, w.next.Change.ID, err)
	}
}

// resolve reads the configuration after a conflict to find out whether an earlier unanswered attempt took effect. If
// the store was restored meanwhile, that attempt may still do so, since the platform compares counters alone.
func (w *write) resolve(ctx context.Context) (eelgrassbeam.Configuration, error) {
	current, err := w.configWriter.Read(ctx)
	if err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	if current.IncludesChange(w.next.Change.ID) {
		return current, nil
	}
	if w.mayHaveApplied && w.base.Version > 0 && current.Era != w.base.Era {
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: the store was restored meanwhile", ErrOutcomeUnknown, w.next.Change.ID)
	}
	if w.mayHaveApplied && !w.historyReachesBase(current) {
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: more than %d changes followed",
			ErrOutcomeUnknown, w.next.Change.ID, eelgrassbeam.MaxRecentChanges)
	}
	return eelgrassbeam.Configuration{}, &ConflictError{Version: current.Revision(), Change: current.Change}
}

// historyReachesBase reports whether the recent changes go back to the base. Only then does the absence of a change
// prove that it was not stored. If nothing was stored before, the list is complete as long as it is not full.
func (w *write) historyReachesBase(current eelgrassbeam.Configuration) bool {
	if w.base.Version == 0 {
		return len(current.RecentChanges) < eelgrassbeam.MaxRecentChanges
	}
	return w.base.Change.ID != "" && current.IncludesChange(w.base.Change.ID)
}
