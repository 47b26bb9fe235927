package standin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

func newBackend(t *testing.T, config standin.BackendConfig) (*standin.Backend, client) {
	t.Helper()
	config.ID, config.Service = "b1", "booking"
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	backend := standin.NewBackend(config)
	return backend, serve(t, backend.Server(), backend.Close)
}

func assertShed(t *testing.T, answer response, status int) {
	t.Helper()
	is := is.New(t)
	is.Equal(answer.status, status)
	is.Equal(answer.header.Get(standin.HeaderShed), "true")
}

func TestEcho(t *testing.T) {
	is := is.New(t)
	var journal bytes.Buffer
	backend, c := newBackend(t, standin.BackendConfig{Journal: &journal})
	answer := c.call("GET", "/tables?day=1", nil, nil, standin.HeaderRequestID, "r1")
	is.Equal(answer.status, http.StatusOK)
	is.Equal(string(answer.body), "GET /tables?day=1\n")
	is.Equal(answer.header.Get(standin.HeaderRequestID), "r1")
	is.Equal(answer.header.Get(standin.HeaderBackend), "b1")
	answer, err := c.do(t.Context(), "POST", "/holds", []byte("deposit"), standin.HeaderRequestID, "r2", standin.HeaderIdempotencyKey, "k")
	is.NoErr(err)
	is.Equal(string(answer.body), "deposit")
	c.call("POST", "/holds", nil, nil, standin.HeaderRequestID, "r2")
	counts := backend.Counts()
	is.Equal(counts.Executions, map[string]int{"r1": 1, "r2": 2})
	is.Equal(counts.Keys, map[string]int{"k": 1})
	is.Equal(counts.Total, 3)
	is.Equal(journal.String(), "r1\t\nr2\tk\nr2\t\n")
	large, err := c.do(t.Context(), "POST", "/", make([]byte, 2<<20+1))
	is.NoErr(err)
	assertShed(t, large, http.StatusRequestEntityTooLarge)
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	backend, c := newBackend(t, standin.BackendConfig{Slots: 2, QueueLimit: 1, QueueWait: time.Second, Clock: clock})
	var group errgroup.Group
	for _, id := range []string{"r1", "r2"} {
		group.Go(func() error {
			c.call("GET", "/", nil, nil, standin.HeaderRequestID, id, standin.HeaderWork, "10s")
			return nil
		})
	}
	eventually(t, func() bool { return backend.Counts().Total == 2 })
	is.Equal(backend.Load().InProgress, 2)
	var waited, late response
	group.Go(func() error {
		waited = c.call("GET", "/", nil, nil, standin.HeaderRequestID, "r3")
		return nil
	})
	is.NoErr(clock.BlockUntilContext(t.Context(), 3))
	assertShed(t, c.call("GET", "/", nil, nil, standin.HeaderRequestID, "r4"), http.StatusServiceUnavailable)
	clock.Advance(time.Second)
	eventually(t, func() bool { return backend.Counts().Shed == 2 })
	group.Go(func() error {
		late = c.call("GET", "/", nil, nil, standin.HeaderRequestID, "r5", standin.HeaderDeadline, "500")
		return nil
	})
	is.NoErr(clock.BlockUntilContext(t.Context(), 3))
	clock.Advance(500 * time.Millisecond)
	eventually(t, func() bool { return backend.Counts().Shed == 3 })
	assertShed(t, c.call("GET", "/", nil, nil, standin.HeaderDeadline, "0"), http.StatusGatewayTimeout)
	clock.Advance(10 * time.Second)
	is.NoErr(group.Wait())
	assertShed(t, waited, http.StatusServiceUnavailable)
	assertShed(t, late, http.StatusGatewayTimeout)
	is.Equal(backend.Counts().Executions, map[string]int{"r1": 1, "r2": 1})
	is.Equal(backend.Counts().MaxInProgress, 2)
}

func TestCancellationStopsStartedWork(t *testing.T) {
	is := is.New(t)
	backend, c := newBackend(t, standin.BackendConfig{Slots: 1, Clock: clockwork.NewFakeClock()})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		_, err := c.do(ctx, "POST", "/", nil, standin.HeaderRequestID, "r1", standin.HeaderWork, "1h")
		return err
	})
	eventually(t, func() bool { return backend.Counts().Total == 1 })
	cancel()
	is.True(errors.Is(group.Wait(), context.Canceled))
	eventually(t, func() bool { return backend.Load().InProgress == 0 })
	is.Equal(backend.Counts().Executions["r1"], 1)
}

func TestSlotHoldTimes(t *testing.T) {
	// blockedFor advances the clock in steps of 1 ms until the call ends and returns the number of steps.
	blockedFor := func(t *testing.T, clock *clockwork.FakeClock, call func()) int {
		t.Helper()
		var group errgroup.Group
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			call()
			return nil
		})
		is.New(t).NoErr(clock.BlockUntilContext(t.Context(), 1))
		for n := 1; ; n++ {
			clock.Advance(time.Millisecond)
			// With a cancelled context, BlockUntilContext only checks whether the call is still waiting for the clock.
			if clock.BlockUntilContext(cancelledContext(), 1) == nil {
				continue
			}
			<-done
			return n
		}
	}
	t.Run("new connection and probe", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		backend, c := newBackend(t, standin.BackendConfig{ConnectionCost: 2 * time.Millisecond, ProbeCost: 6 * time.Millisecond, Clock: clock})
		work := func() { c.call("GET", "/", nil, nil, standin.HeaderWork, "3ms") }
		is.Equal(blockedFor(t, clock, work), 5)
		is.Equal(blockedFor(t, clock, work), 3)
		is.Equal(blockedFor(t, clock, func() { c.call("GET", "/standin/health", nil, nil) }), 6)
		is.Equal(backend.Counts().NewConnections, 1)
		is.Equal(backend.Counts().Probes, 1)
	})
	t.Run("cold start", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		_, c := newBackend(t, standin.BackendConfig{ColdStart: time.Second, ColdFactor: 5, Clock: clock})
		work := func() { c.call("GET", "/", nil, nil, standin.HeaderWork, "10ms") }
		is.Equal(blockedFor(t, clock, work), 50)
		clock.Advance(450 * time.Millisecond)
		is.Equal(blockedFor(t, clock, work), 30)
		clock.Advance(time.Second)
		is.Equal(blockedFor(t, clock, work), 10)
	})
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	backend, c := newBackend(t, standin.BackendConfig{ConnectionLimit: 1})
	c.call("GET", "/", nil, nil)
	other := c
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	other.http = &http.Client{Transport: transport}
	_, err := other.do(t.Context(), "GET", "/", nil)
	is.True(err != nil)
	eventually(t, func() bool { return backend.Counts().Connections == 1 })
	is.Equal(backend.Counts().NewConnections, 1)
	is.True(backend.Counts().RefusedConnections > 0)
}

func TestLoadReport(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	backend, c := newBackend(t, standin.BackendConfig{Slots: 4, Lag: time.Second, Clock: clock})
	var report standin.LoadReport
	c.call("GET", "/standin/load", nil, &report)
	is.Equal(report, standin.LoadReport{Slots: 4, Connections: 1})
	backend.SetFaults(standin.BackendFaults{Draining: true})
	is.Equal(backend.Load().Leaving, false)
	clock.Advance(time.Second)
	is.Equal(backend.Load().Leaving, true)
	backend.SetFaults(standin.BackendFaults{MisleadFull: true})
	is.Equal(backend.Load().InProgress, 4)
}

func TestBackendFaults(t *testing.T) {
	set := func(c client, faults standin.BackendFaults) {
		is.New(c.t).Equal(c.call("PUT", "/standin/faults", faults, nil).status, http.StatusNoContent)
	}
	t.Run("truncated response", func(t *testing.T) {
		is := is.New(t)
		backend, c := newBackend(t, standin.BackendConfig{})
		set(c, standin.BackendFaults{Truncate: 1})
		answer, err := c.do(t.Context(), "POST", "/", []byte("12345678"))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(string(answer.body), "1234")
		is.Equal(c.call("GET", "/", nil, nil).status, http.StatusOK)
		is.Equal(backend.Counts().Total, 2)
	})
	t.Run("response to another request", func(t *testing.T) {
		is := is.New(t)
		_, c := newBackend(t, standin.BackendConfig{})
		c.call("GET", "/first", nil, nil, standin.HeaderRequestID, "r1")
		set(c, standin.BackendFaults{SwapResponses: 1})
		answer := c.call("GET", "/second", nil, nil, standin.HeaderRequestID, "r2")
		is.Equal(answer.header.Get(standin.HeaderRequestID), "r1")
		is.Equal(string(answer.body), "GET /first\n")
	})
	t.Run("executed without a response", func(t *testing.T) {
		is := is.New(t)
		backend, c := newBackend(t, standin.BackendConfig{})
		set(c, standin.BackendFaults{RunThenClose: 1})
		_, err := c.do(t.Context(), "POST", "/", []byte("x"), standin.HeaderRequestID, "r1")
		is.True(err != nil)
		is.Equal(backend.Counts().Executions["r1"], 1)
	})
	t.Run("error and draining do not execute the request", func(t *testing.T) {
		is := is.New(t)
		backend, c := newBackend(t, standin.BackendConfig{})
		set(c, standin.BackendFaults{Errors: 1})
		is.Equal(c.call("GET", "/", nil, nil).status, http.StatusInternalServerError)
		set(c, standin.BackendFaults{Draining: true})
		answer := c.call("GET", "/", nil, nil)
		assertShed(t, answer, http.StatusServiceUnavailable)
		is.Equal(answer.header.Get(standin.HeaderLeaving), "true")
		is.Equal(backend.Counts().Total, 0)
	})
	t.Run("delay postpones the response", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		backend, c := newBackend(t, standin.BackendConfig{Clock: clock})
		set(c, standin.BackendFaults{Delay: eelgrassbeam.Seconds(3)})
		var group errgroup.Group
		group.Go(func() error {
			c.call("GET", "/", nil, nil)
			return nil
		})
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		is.Equal(backend.Load().InProgress, 0)
		clock.Advance(3 * time.Second)
		is.NoErr(group.Wait())
	})
	t.Run("freeze never answers", func(t *testing.T) {
		is := is.New(t)
		backend, c := newBackend(t, standin.BackendConfig{})
		set(c, standin.BackendFaults{Freeze: true})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error {
			_, err := c.do(ctx, "GET", "/standin/health", nil)
			return err
		})
		eventually(t, func() bool { return backend.Counts().Probes == 1 })
		cancel()
		is.True(errors.Is(group.Wait(), context.Canceled))
		is.Equal(backend.Counts().Total, 0)
	})
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
