package changer

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

// write is one conditional update and what is known about it.
type write struct {
	changer *Changer
	base    eelgrassbeam.Configuration
	next    eelgrassbeam.Configuration
	value   []byte
	// lost tells that an attempt got no answer and may have taken effect.
	lost bool
}

// store checks next and writes it over base until the outcome is known.
func (c *Changer) store(ctx context.Context, base, next eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
	if err := next.Validate(); err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	value, err := json.Marshal(next.WithVersion(0))
	if err != nil {
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: encode configuration: %w", eelgrassbeam.ErrInvalid, err)
	}
	if len(value) > MaxValueBytes {
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: configuration has %d bytes: want at most %d", eelgrassbeam.ErrInvalid, len(value), MaxValueBytes)
	}
	w := &write{changer: c, base: base, next: next, value: value}
	return w.run(ctx)
}

// run repeats the write while its outcome is unknown. A repeat is safe: its condition fails once any write has taken effect.
func (w *write) run(ctx context.Context) (eelgrassbeam.Configuration, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryMin, retryMax
	for {
		stored, err := w.attempt(ctx)
		if err == nil || w.changer.trustsErrors || !errors.Is(err, eelgrassbeam.ErrUnavailable) {
			return stored, err
		}
		w.lost = true
		select {
		case <-w.changer.config.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
			return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: %w", ErrOutcomeUnknown, w.next.Change.ID, err)
		}
	}
}

func (w *write) attempt(ctx context.Context) (eelgrassbeam.Configuration, error) {
	object, err := w.put(ctx)
	switch {
	case err == nil:
		return w.next.WithVersion(object.Version), nil
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return w.resolve(ctx)
	case errors.Is(err, eelgrassbeam.ErrUnavailable) || !w.lost:
		return eelgrassbeam.Configuration{}, fmt.Errorf("store configuration: %w", err)
	default:
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: %w", ErrOutcomeUnknown, w.next.Change.ID, err)
	}
}

func (w *write) put(ctx context.Context) (eelgrassbeam.Object, error) {
	store := w.changer.config.Store
	if w.base.Version == 0 {
		return store.Create(ctx, Kind, Name, w.value)
	}
	return store.Update(ctx, eelgrassbeam.Object{Kind: Kind, Name: Name, Version: w.base.Version, Value: w.value})
}

// resolve reads back after a conflict and tells whether an attempt without an answer had taken effect.
func (w *write) resolve(ctx context.Context) (eelgrassbeam.Configuration, error) {
	current, err := w.changer.Read(ctx)
	if err != nil {
		return eelgrassbeam.Configuration{}, err
	}
	if current.Includes(w.next.Change.ID) {
		return current, nil
	}
	if w.lost && !w.reachesBase(current) {
		return eelgrassbeam.Configuration{}, fmt.Errorf("%w: change %q: more than %d changes followed",
			ErrOutcomeUnknown, w.next.Change.ID, eelgrassbeam.MaxRecentChanges)
	}
	return eelgrassbeam.Configuration{}, &ConflictError{Version: current.Version, Other: current.Change}
}

// reachesBase tells whether all changes since the base are listed.
func (w *write) reachesBase(current eelgrassbeam.Configuration) bool {
	if w.base.Version == 0 {
		return len(current.RecentChanges) < eelgrassbeam.MaxRecentChanges
	}
	return w.base.Change.ID != "" && current.Includes(w.base.Change.ID)
}
