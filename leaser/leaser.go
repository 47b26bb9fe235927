// Package leaser implements leases stored as platform objects, with a fencing token that receivers check.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// Kind is the platform kind of lease objects.
	Kind = "lease"

	renewalsPerTerm = 3
	releaseTimeout  = time.Second
)

// ErrHeld is returned while another holder's lease has not expired.
var ErrHeld = errors.New("lease is held by another entry")

// Config configures a Lease.
type Config struct {
	// Name is the name of the lease object.
	Name   string
	Holder eelgrassbeam.EntryID
	// Term is the validity of the lease from when its last write was sent; it is renewed three times per term. It must be
	// the same for all holders: others wait for it where a restored store may have lost a holder's record.
	Term time.Duration
	// Margin is the additional time that others wait before they take the lease over.
	Margin     time.Duration
	Store      eelgrassbeam.Store
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// record is the value of a lease object.
type record struct {
	Holder eelgrassbeam.EntryID `json:"holder"`
	// Write identifies the write, so that a lost response can be resolved by reading the object back.
	Write string `json:"write"`
	// Term is the validity of the lease by the holder's clock; zero once it is released.
	Term eelgrassbeam.Duration `json:"term"`
	// Fence is the fencing token: one above the object version or list revision at which the holder acquired the lease.
	Fence uint64 `json:"fence"`
	// Era is the store's era as of the sending of the write. In a later era the record comes from a copy, or from a
	// write that arrived late, and there may be a later holder that the store has lost.
	Era uint64 `json:"era"`
}

// pendingWrite is a write whose outcome may be unknown.
type pendingWrite struct {
	record record
	sentAt time.Time
}

// Lease is a lease that this process tries to acquire and renew.
type Lease struct {
	config Config
	writes *prometheus.CounterVec

	// mu guards the fields below; it is not held during calls to the platform.
	mu sync.Mutex
	// version and fence are the object version and fencing token of the held lease; zero if it is not held.
	version   eelgrassbeam.Revision
	fence     uint64
	expiresAt time.Time
	// pending is the last write sent; it may have taken effect although no response arrived.
	pending pendingWrite
	// otherVersion is the version of a lease on which another holder may count, otherSince when it was first observed.
	otherVersion eelgrassbeam.Revision
	otherSince   time.Time

	// skipExpiryCheck treats a granted lease as valid forever; for tests only.
	skipExpiryCheck bool
	// expireFromReceipt starts the term when the response arrives instead of when the write is sent; for tests only.
	expireFromReceipt bool
	// skipEraCheck takes what a restored store shows for its latest state; for tests only.
	skipEraCheck bool
}

// New returns a lease that is not held.
func New(config Config) *Lease {
	return &Lease{
		config: config,
		writes: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_leaser_writes_total", Help: "Attempts to take or renew a lease by result.",
		}, []string{"result"}),
	}
}

// Valid returns the fencing token and reports whether the lease is valid at the given local time. Call it before
// each operation under the lease.
func (l *Lease) Valid(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.isValid(now)
}

// isValid compares both the monotonic and the wall clock, since the monotonic clock may stop while the machine is
// suspended. The caller holds the mutex.
func (l *Lease) isValid(now time.Time) bool {
	if l.skipExpiryCheck {
		return l.version > 0
	}
	return l.version > 0 && now.Before(l.expiresAt) && now.Round(0).Before(l.expiresAt.Round(0))
}

// Run acquires and renews the lease until the context ends, and then releases it.
func (l *Lease) Run(ctx context.Context) error {
	for {
		next := l.config.Clock.After(l.config.Term / renewalsPerTerm)
		_ = l.Renew(ctx)
		select {
		case <-next:
		case <-ctx.Done():
			released, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			return l.Release(released)
		}
	}
}

// Renew acquires or renews the lease once. It returns ErrHeld if another entry holds it.
func (l *Lease) Renew(ctx context.Context) error {
	err := l.renew(ctx)
	l.writes.WithLabelValues(resultOf(err)).Inc()
	if err != nil && !errors.Is(err, ErrHeld) {
		l.config.Log.WithFields(logrus.Fields{"event": "lease_not_renewed", "lease": l.config.Name, "error": err}).Warn("")
	}
	return err
}

// Release gives up the lease, so that others need not wait for its expiry. It is a no-op if the lease is not held.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version, fence := l.version, l.fence
	l.drop()
	l.pending = pendingWrite{}
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	value, err := json.Marshal(record{Holder: l.config.Holder, Write: uuid.NewString(), Fence: fence, Era: version.Era()})
	if err != nil {
		return fmt.Errorf("%w: encode lease: %w", eelgrassbeam.ErrInvalid, err)
	}
	object := eelgrassbeam.Object{Kind: Kind, Name: l.config.Name, Version: version, Value: value}
	if _, err = l.config.Store.Update(ctx, object); err != nil {
		return fmt.Errorf("release lease %s: %w", l.config.Name, err)
	}
	return nil
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrHeld):
		return "held"
	default:
		return "failed"
	}
}
