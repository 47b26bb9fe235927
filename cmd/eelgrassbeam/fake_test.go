package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeBackend stores one configuration.
type fakeBackend struct {
	mu     sync.Mutex
	stored eelgrassbeam.Configuration
	// lost is the number of changes whose answer is lost; they take effect if stores is set.
	lost   int
	stores bool
	// lagging is the number of status reads for which the second entry lags behind.
	lagging int
	applied int
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{stored: eelgrassbeam.Configuration{
		Version: 5,
		Change:  eelgrassbeam.Change{ID: "c-0", Author: "ana", Note: "first rollout"},
		Defaults: eelgrassbeam.Defaults{
			LookupTTL: eelgrassbeam.Seconds(5), LookupEntries: 3, BodyLimitBytes: 1 << 20,
			ProgressTimeout: eelgrassbeam.Seconds(1), IdempotencyWindow: eelgrassbeam.Seconds(60),
			Services: []eelgrassbeam.Service{{
				Name: "booking", Hosts: []string{"booking.test"}, SlotsPerUpstream: 3, ConnectionsPerUpstream: 360,
				Routes: []eelgrassbeam.Route{{Method: "*", PathPrefix: "/", Rank: eelgrassbeam.RankUrgent}},
				Ranks:  []eelgrassbeam.RankPolicy{{Rank: eelgrassbeam.RankUrgent, Deadline: eelgrassbeam.Seconds(2), QueueLimit: 64}},
			}},
		},
	}}
}

func (b *fakeBackend) Configuration() (*eelgrassbeam.Configuration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := b.stored
	return &stored, true
}

func (b *fakeBackend) Apply(_ context.Context, change operator.Change) (*eelgrassbeam.Configuration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := b.stored
	next, err := change.Over(stored)
	if errors.Is(err, operator.ErrIncluded) {
		return &stored, nil
	}
	if err != nil {
		return nil, err
	}
	if change.DryRun {
		return &next, nil
	}
	next = next.WithVersion(stored.Version + 1).WithRecentChanges(append([]eelgrassbeam.Change{stored.Change}, stored.RecentChanges...))
	isLost := b.lost > 0
	if !isLost || b.stores {
		b.stored = next
		b.applied++
	}
	if isLost {
		b.lost--
		return nil, fmt.Errorf("%w: no answer", eelgrassbeam.ErrUnavailable)
	}
	return &next, nil
}

func (b *fakeBackend) Status(context.Context) (operator.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	version := b.stored.Version
	behind := version
	if b.lagging > 0 {
		b.lagging--
		behind--
	}
	return operator.Status{
		Reporter: "e-1", StoredVersion: version, StoreReachable: true, InForce: 1, Live: 2,
		Entries: []operator.EntryStatus{
			{ID: "e-1", Zone: "austro-a", Region: "austro", State: eelgrassbeam.InstanceLive, Version: version},
			{ID: "e-2", Zone: "austro-b", Region: "austro", State: eelgrassbeam.InstanceLive, Version: behind},
		},
		Zones: []operator.ZoneStatus{{Zone: "austro-a", Region: "austro", SiteLoad: eelgrassbeam.SiteLoad{Slots: 24}}},
		Upstreams: []operator.UpstreamStatus{{
			ID: "up-1", Service: "booking", Zone: "austro-a", Region: "austro", State: eelgrassbeam.InstanceLeaving,
			Dispatcher: "e-1", SiteLoad: eelgrassbeam.SiteLoad{Slots: 3, InProgress: 2, Waiting: 7},
		}},
	}, nil
}

func (b *fakeBackend) Decisions(logger.Filter) []logger.Decision {
	return []logger.Decision{{
		Kind: logger.KindDispatch, Request: "r-1", Versions: logger.Versions{Configuration: 5, Fleet: 2},
		Choice: "up-1", Reason: "least_loaded", Fields: logger.Fields{logger.Int("waiting", 7)},
	}}
}

// fixture is an entry with a fake backend and an environment to run commands in.
type fixture struct {
	backend *fakeBackend
	url     string
	changes int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	backend := newFakeBackend()
	return &fixture{backend: backend, url: serve(t, backend, func(h http.Handler) http.Handler { return h })}
}

func serve(t *testing.T, backend operator.Backend, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := operator.New(operator.Config{Backend: backend, Log: log, Clock: clockwork.NewRealClock()})
	server := httptest.NewServer(wrap(handler))
	t.Cleanup(server.Close)
	return server.URL
}

// result is what a command left behind.
type result struct {
	status int
	out    string
	err    string
}

func (f *fixture) run(input string, args ...string) result {
	var out, fault bytes.Buffer
	env := environment{
		stdin: bytes.NewBufferString(input), stdout: &out, stderr: &fault, author: "luz",
		clock: clockwork.NewRealClock(),
		newID: func() eelgrassbeam.ChangeID {
			f.changes++
			return eelgrassbeam.ChangeID("change-" + strconv.Itoa(f.changes))
		},
	}
	args = append([]string{"--operator-url", f.url, "--timeout", "3s"}, args...)
	status := run(context.Background(), env, args)
	return result{status: status, out: out.String(), err: fault.String()}
}
