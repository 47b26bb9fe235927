package leaser

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

const (
	term   = 9 * time.Second
	margin = time.Second
	steps  = 150
)

// model simulates holders that pause inside their calls while time passes and other holders continue.
type model struct {
	*storefake.Store
	random *rand.Rand
	clock  *clockwork.FakeClock
	leases []*Lease
	// inCall contains the leases with a call in progress.
	inCall     map[*Lease]bool
	fence      *Fence
	err        error
	validCount int
	// last is the highest fencing token that the receiver has admitted.
	last uint64
}

func newModel(t *rapid.T) *model {
	m := &model{
		Store: storefake.New(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), clock: clockwork.NewFakeClock(),
		inCall: make(map[*Lease]bool), fence: NewFence(),
	}
	m.LoseResponse = func(string) bool { return m.random.IntN(6) == 0 }
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 3 {
		m.leases = append(m.leases, New(Config{
			Name: "role", Holder: eelgrassbeam.EntryID(fmt.Sprint("e", i)), Term: term, Margin: margin, Store: m, Clock: m.clock, Log: log,
		}))
	}
	return m
}

// advance moves the clock forward and lets other holders run.
func (m *model) advance() {
	longest := []int{10, 500, 3000, 15000}[m.random.IntN(4)]
	m.clock.Advance(time.Duration(m.random.IntN(longest)) * time.Millisecond)
	for _, lease := range m.leases {
		if !m.inCall[lease] && m.random.IntN(3) == 0 {
			m.act(lease)
		}
	}
	m.check()
}

func (m *model) act(lease *Lease) {
	m.inCall[lease] = true
	defer delete(m.inCall, lease)
	if m.random.IntN(20) == 0 {
		_ = lease.Release(context.Background())
		return
	}
	_ = lease.Renew(context.Background())
	if token, ok := lease.Valid(m.clock.Now()); ok {
		m.validCount++
		if m.random.IntN(4) == 0 {
			m.advance() // the holder pauses between checking the lease and using it
		}
		m.submit(token)
	}
}

// submit sends an operation under the fencing token to the receiver.
func (m *model) submit(token uint64) {
	if m.fence.Admit("role", token) != nil {
		return
	}
	if token < m.last {
		m.err = errors.Join(m.err, fmt.Errorf("admitted token %d after %d", token, m.last))
	}
	m.last = max(m.last, token)
}

func (m *model) check() {
	var valid []eelgrassbeam.EntryID
	for _, lease := range m.leases {
		if _, ok := lease.Valid(m.clock.Now()); ok {
			valid = append(valid, lease.config.Holder)
		}
	}
	if len(valid) > 1 {
		m.err = errors.Join(m.err, fmt.Errorf("%v hold the lease at the same time", valid))
	}
}

func (m *model) Get(ctx context.Context, kind, name string) (eelgrassbeam.Object, error) {
	defer m.stall()
	return m.Store.Get(ctx, kind, name)
}

func (m *model) Create(ctx context.Context, kind, name string, value []byte) (eelgrassbeam.Object, error) {
	m.stall()
	defer m.stall()
	return m.Store.Create(ctx, kind, name, value)
}

func (m *model) Update(ctx context.Context, object eelgrassbeam.Object) (eelgrassbeam.Object, error) {
	m.stall()
	defer m.stall()
	return m.Store.Update(ctx, object)
}

func (m *model) stall() {
	if m.random.IntN(5) == 0 {
		m.advance()
	}
}

func (m *model) run() error {
	for range steps {
		m.advance()
	}
	return m.err
}

func TestLeaseGuards(t *testing.T) {
	guards := map[string]func(m *model){
		"term starts at receipt": func(m *model) {
			for _, lease := range m.leases {
				lease.expireFromReceipt = true
			}
		},
		"expiry not checked": func(m *model) {
			for _, lease := range m.leases {
				lease.skipExpiryCheck = true
			}
		},
		"fencing token not checked": func(m *model) { m.fence.skipCheck = true },
	}
	t.Run("guards on", func(t *testing.T) {
		validCount := 0
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t)
			if err := m.run(); err != nil {
				t.Fatal(err)
			}
			validCount += m.validCount
		})
		is.New(t).True(validCount > 0)
	})
	for name, disable := range guards {
		t.Run(name+", guard off", func(t *testing.T) {
			faults := 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t)
				disable(m)
				if m.run() != nil {
					faults++
				}
			})
			is.New(t).True(faults > 0)
		})
	}
}

func TestLostRenewal(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, clock := storefake.New(), clockwork.NewFakeClock()
	lease := New(Config{Name: "role", Holder: "e0", Term: term, Margin: margin, Store: store, Clock: clock, Log: log})
	is.NoErr(lease.Renew(t.Context()))
	first, ok := lease.Valid(clock.Now())
	is.True(ok)
	clock.Advance(term / renewalsPerTerm)
	store.WithLock(func(s *storefake.Store) {
		s.LoseResponse = func(operation string) bool { return operation == "update" }
	})
	is.NoErr(lease.Renew(t.Context())) // resolved by reading the object back
	clock.Advance(term - time.Second)
	fence, ok := lease.Valid(clock.Now())
	is.True(ok)
	is.Equal(fence, first) // a renewal keeps the fencing token
	clock.Advance(2 * time.Second)
	_, ok = lease.Valid(clock.Now())
	is.True(!ok)
}
