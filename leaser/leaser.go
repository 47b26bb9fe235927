// Package leaser holds leases as objects of the platform, with a fencing version that receivers check.
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

// ErrHeld reports that another holder's lease has not run out.
var ErrHeld = errors.New("lease is held by another")

// Config configures a Lease.
type Config struct {
	// Name is the name of the lease object.
	Name   string
	Holder eelgrassbeam.EntryID
	// Term is how long the lease holds after the sending of its last write; it is renewed at a third of it.
	Term time.Duration
	// Margin is how much longer others wait before they take the lease over.
	Margin     time.Duration
	Store      eelgrassbeam.Store
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// record is the value of a lease object.
type record struct {
	Holder eelgrassbeam.EntryID `json:"holder"`
	// Write names the write, so that a lost answer is resolved by reading back.
	Write string `json:"write"`
	// Term is how long the lease holds, by the holder's clock; zero once it is released.
	Term eelgrassbeam.Duration `json:"term"`
	// Fence is the fencing version: one above the object version that the holder took the lease over from.
	Fence uint64 `json:"fence"`
}

// attempt is a write whose outcome may be unknown.
type attempt struct {
	record record
	sent   time.Time
}

// Lease is one lease that this process tries to hold.
type Lease struct {
	config  Config
	renewed *prometheus.CounterVec

	// mu guards what follows; no call to the platform is made under it.
	mu sync.Mutex
	// version and fence are those of the lease that is held; zero if none is.
	version uint64
	fence   uint64
	until   time.Time
	// pending is the last write; it may yet be found to have taken effect.
	pending attempt
	// seen is the version of another's lease and since when it stands unchanged.
	seen      uint64
	seenSince time.Time

	// trustsGrant takes a lease once granted as valid for good; tests only.
	trustsGrant bool
	// fromReceipt measures the term from the arrival of the answer; tests only.
	fromReceipt bool
}

// New returns a lease that is not held yet.
func New(config Config) *Lease {
	return &Lease{
		config: config,
		renewed: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassbeam_leaser_writes_total", Help: "Attempts to take or renew a lease by result.",
		}, []string{"result"}),
	}
}

// Valid returns the fencing version if the lease holds at the given time of this process's clock. Ask before each use.
func (l *Lease) Valid(now time.Time) (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.isValid(now)
}

// isValid counts both clocks, since the monotonic one may stand still while the machine is suspended; the caller holds the mutex.
func (l *Lease) isValid(now time.Time) bool {
	if l.trustsGrant {
		return l.version > 0
	}
	return l.version > 0 && now.Before(l.until) && now.Round(0).Before(l.until.Round(0))
}

// Run takes and renews the lease until the context ends, and then releases it.
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

// Renew takes or renews the lease once; ErrHeld where another holds it.
func (l *Lease) Renew(ctx context.Context) error {
	err := l.renew(ctx)
	l.renewed.WithLabelValues(resultOf(err)).Inc()
	if err != nil && !errors.Is(err, ErrHeld) {
		l.config.Log.WithFields(logrus.Fields{"event": "lease_not_renewed", "lease": l.config.Name, "error": err}).Warn("")
	}
	return err
}

// Release gives the lease up, so that others need not wait for its end.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version, fence := l.version, l.fence
	l.version, l.fence, l.until, l.pending = 0, 0, time.Time{}, attempt{}
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	value, err := json.Marshal(record{Holder: l.config.Holder, Write: uuid.NewString(), Fence: fence})
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
