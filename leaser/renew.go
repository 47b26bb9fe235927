package leaser

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

func (l *Lease) renew(ctx context.Context) error {
	current, held, err := l.read(ctx)
	if err != nil {
		return err
	}
	if !l.mayWrite(current.Version, held) {
		return fmt.Errorf("%w: %s by %s", ErrHeld, l.config.Name, held.Holder)
	}
	return l.write(ctx, current.Version)
}

// read returns the lease object; version zero where there is none.
func (l *Lease) read(ctx context.Context) (eelgrassbeam.Object, record, error) {
	var held record
	current, err := l.config.Store.Get(ctx, Kind, l.config.Name)
	if errors.Is(err, eelgrassbeam.ErrNotFound) {
		return eelgrassbeam.Object{}, held, nil
	}
	if err != nil {
		return current, held, fmt.Errorf("read lease %s: %w", l.config.Name, err)
	}
	if err = json.Unmarshal(current.Value, &held); err != nil {
		return current, held, fmt.Errorf("%w: lease %s: %w", eelgrassbeam.ErrInvalid, l.config.Name, err)
	}
	l.adopt(current.Version, held)
	return current, held, nil
}

// adopt takes note of what stands: this process's own write, perhaps one without an answer, or another's.
func (l *Lease) adopt(version uint64, held record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case version == l.version:
	case l.pending.record.Write != "" && held.Write == l.pending.record.Write:
		l.grant(version, l.pending)
	default:
		l.version, l.fence, l.until = 0, 0, time.Time{}
	}
}

// mayWrite tells whether the lease is free, this process's own, released, or seen unchanged here for its term and the margin.
func (l *Lease) mayWrite(version uint64, held record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	if version == l.version || held.Term.Duration == 0 {
		return true
	}
	if l.seen != version {
		l.seen, l.seenSince = version, now
	}
	return now.Sub(l.seenSince) > held.Term.Duration+l.config.Margin
}

// write takes or renews the lease under the condition and resolves a lost answer by reading back.
func (l *Lease) write(ctx context.Context, condition uint64) error {
	made := l.begin(condition)
	value, err := json.Marshal(made.record)
	if err != nil {
		return fmt.Errorf("%w: encode lease: %w", eelgrassbeam.ErrInvalid, err)
	}
	stored, err := l.put(ctx, condition, value)
	switch {
	case err == nil:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.grant(stored.Version, made)
		return nil
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return fmt.Errorf("%w: %s: %w", ErrHeld, l.config.Name, err)
	case !errors.Is(err, eelgrassbeam.ErrUnavailable):
		return fmt.Errorf("write lease %s: %w", l.config.Name, err)
	}
	if _, held, readErr := l.read(ctx); readErr != nil || held.Write != made.record.Write {
		return fmt.Errorf("write lease %s: %w", l.config.Name, err)
	}
	return nil
}

// begin notes the write before it is sent. A renewal keeps the fencing version.
func (l *Lease) begin(condition uint64) attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence := condition + 1
	if l.version == condition && l.fence > 0 {
		fence = l.fence
	}
	l.pending = attempt{sent: l.config.Clock.Now(), record: record{
		Holder: l.config.Holder, Write: uuid.NewString(), Term: eelgrassbeam.Duration{Duration: l.config.Term}, Fence: fence,
	}}
	return l.pending
}

func (l *Lease) put(ctx context.Context, condition uint64, value []byte) (eelgrassbeam.Object, error) {
	if condition == 0 {
		return l.config.Store.Create(ctx, Kind, l.config.Name, value)
	}
	return l.config.Store.Update(ctx, eelgrassbeam.Object{Kind: Kind, Name: l.config.Name, Version: condition, Value: value})
}

// grant starts the term at the time of sending; the caller holds the mutex.
func (l *Lease) grant(version uint64, made attempt) {
	sent := made.sent
	if l.fromReceipt {
		sent = l.config.Clock.Now()
	}
	if l.version == 0 {
		l.config.Log.WithFields(logrus.Fields{"event": "lease_taken", "lease": l.config.Name, "fence": made.record.Fence}).Info("")
	}
	l.version, l.fence, l.until = version, made.record.Fence, sent.Add(l.config.Term)
}
