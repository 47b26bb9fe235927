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
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	attempt, ok := l.beginWrite(current)
	if !ok && current.held.Term.Duration == 0 {
		return fmt.Errorf("%w: %s: the restored store may have lost its holder", ErrHeld, l.config.Name)
	}
	if !ok {
		return fmt.Errorf("%w: %s by %s", ErrHeld, l.config.Name, current.held.Holder)
	}
	return l.write(ctx, current, attempt)
}

// reconcile updates the local state from what the store shows. If the version is the known one, nothing changes. If the
// record is this process's last write, whose response was lost, the term starts at the time that write was sent. Any
// other record ends this process's lease, unless a restored store has lost it.
func (l *Lease) reconcile(current reading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.isOwn(current):
	case current.exists && l.pending.record.Write != "" && current.held.Write == l.pending.record.Write:
		_ = l.finishWrite(current.version, l.pending)
	case l.isLost(current):
	default:
		l.drop()
	}
}

// isOwn reports whether the store shows the version that this process knows as its own. The caller holds the mutex.
func (l *Lease) isOwn(current reading) bool { return current.exists && current.version == l.version }

// isLost reports whether a restored store has lost this process's lease while it is valid. No one else can have taken
// it until then. The caller holds the mutex.
func (l *Lease) isLost(current reading) bool {
	return !l.skipEraCheck && current.version.Era() > l.version.Era() && !current.isCurrent() && l.isValid(l.config.Clock.Now())
}

// beginWrite records a write before it is sent. It reports false if another holder may count on the lease. This process
// may write the lease if it is its own, also where a restored store has lost it, if it is free, or if what the store
// shows has not changed for longer than the term plus the margin. A renewal keeps the fencing token.
func (l *Lease) beginWrite(current reading) (pendingWrite, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, fence := l.config.Clock.Now(), uint64(current.revision)+1
	switch {
	case l.isOwn(current), l.isLost(current):
		fence = l.fence
	case !l.isFree(current) && !l.hasLapsed(current, now):
		return pendingWrite{}, false
	}
	l.pending = pendingWrite{sentAt: now, record: record{
		Holder: l.config.Holder, Write: uuid.NewString(), Term: eelgrassbeam.Duration{Duration: l.config.Term},
		Fence: fence, Era: current.version.Era(),
	}}
	return l.pending, true
}

func (l *Lease) isFree(current reading) bool {
	return current.isFree() || l.skipEraCheck && current.held.Term.Duration == 0
}

// hasLapsed reports whether what the store shows has not changed for longer than the term of any holder plus the margin.
// The term of a holder that a restored store has lost is this process's own. The caller holds the mutex.
func (l *Lease) hasLapsed(current reading, now time.Time) bool {
	if l.otherVersion != current.version {
		l.otherVersion, l.otherSince = current.version, now
	}
	term := current.held.Term.Duration
	if !current.isCurrent() {
		term = max(term, l.config.Term)
	}
	return now.Sub(l.otherSince) > term+l.config.Margin
}

// write acquires or renews the lease if the store still shows the reading. It resolves a lost response by reading it
// back.
func (l *Lease) write(ctx context.Context, current reading, attempt pendingWrite) error {
	value, err := json.Marshal(attempt.record)
	if err != nil {
		return fmt.Errorf("%w: encode lease: %w", eelgrassbeam.ErrInvalid, err)
	}
	stored, err := l.put(ctx, current, value)
	switch {
	case err == nil:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.finishWrite(stored.Version, attempt)
	case errors.Is(err, eelgrassbeam.ErrConflict):
		return fmt.Errorf("%w: %s: %w", ErrHeld, l.config.Name, err)
	case !errors.Is(err, eelgrassbeam.ErrUnavailable):
		return fmt.Errorf("write lease %s: %w", l.config.Name, err)
	}
	if found, readErr := l.read(ctx); readErr != nil || !l.isHeldBy(attempt, found) {
		return fmt.Errorf("write lease %s: %w", l.config.Name, err)
	}
	return nil
}

func (l *Lease) isHeldBy(attempt pendingWrite, found reading) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOwn(found) && found.held.Write == attempt.record.Write
}

func (l *Lease) put(ctx context.Context, current reading, value []byte) (eelgrassbeam.Object, error) {
	if !current.exists {
		return l.config.Store.Create(ctx, Kind, l.config.Name, value)
	}
	return l.config.Store.Update(ctx, eelgrassbeam.Object{Kind: Kind, Name: l.config.Name, Version: current.version, Value: value})
}

// finishWrite starts the term of a write that has taken effect. If the store was restored after the write was sent, it
// may have replaced the lease of a holder that counts on it, so it counts only if the lease is valid until now. The
// caller holds the mutex.
func (l *Lease) finishWrite(version eelgrassbeam.Revision, attempt pendingWrite) error {
	if version.Era() != attempt.record.Era && !l.skipEraCheck && !l.isValid(l.config.Clock.Now()) {
		l.drop()
		return fmt.Errorf("%w: %s: the store was restored before the write took effect", ErrHeld, l.config.Name)
	}
	l.startTerm(version, attempt)
	return nil
}

// startTerm starts the term at the time the write was sent. The caller holds the mutex.
func (l *Lease) startTerm(version eelgrassbeam.Revision, attempt pendingWrite) {
	sent := attempt.sentAt
	if l.expireFromReceipt {
		sent = l.config.Clock.Now()
	}
	if l.version == 0 {
		l.config.Log.WithFields(logrus.Fields{"event": "lease_taken", "lease": l.config.Name, "fence": attempt.record.Fence}).Info("")
	}
	l.version, l.fence, l.expiresAt = version, attempt.record.Fence, sent.Add(l.config.Term)
}

// drop ends this process's lease. The caller holds the mutex.
func (l *Lease) drop() { l.version, l.fence, l.expiresAt = 0, 0, time.Time{} }
