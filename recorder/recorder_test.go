package recorder

import (
	"context"
	"errors"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

const incarnation = 7

func newRecorder(clock eelgrassbeam.Clock) *Recorder {
	return New(Config{
		Clock: clock, Window: 10 * time.Second, CancelTimeout: time.Second,
		Capacity: 4, ReplyBytes: 8, Incarnation: incarnation,
	})
}

func assertCancel(t *testing.T, r *Recorder, id eelgrassbeam.RequestID, age time.Duration, want eelgrassbeam.Cancellation) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	got, reply := r.Cancel(id, incarnation, age)
	is.Equal(got, want)
	is.Equal(reply != nil, want == eelgrassbeam.CancelDone)
}

func answered(id eelgrassbeam.RequestID, body string) eelgrassbeam.Reply {
	return eelgrassbeam.Reply{RequestID: id, Outcome: eelgrassbeam.OutcomeAnswered, Status: 200, Body: []byte(body)}
}

// model tracks what a recorder has reported to its callers about each ID.
type model struct {
	recorder   *Recorder
	clock      *clockwork.FakeClock
	started    map[eelgrassbeam.RequestID]int
	notStarted map[eelgrassbeam.RequestID]bool // IDs for which Cancel returned not_started
	finished   map[eelgrassbeam.RequestID]bool
	sentAt     map[eelgrassbeam.RequestID]time.Time
}

func newModel() *model {
	clock := clockwork.NewFakeClock()
	return &model{
		recorder: newRecorder(clock), clock: clock, started: make(map[eelgrassbeam.RequestID]int),
		notStarted: make(map[eelgrassbeam.RequestID]bool), finished: make(map[eelgrassbeam.RequestID]bool),
		sentAt: make(map[eelgrassbeam.RequestID]time.Time),
	}
}

// step performs one action on one ID; senders and workers may perform them in any order.
func (m *model) step(action int, id eelgrassbeam.RequestID) {
	if _, ok := m.sentAt[id]; !ok {
		m.sentAt[id] = m.clock.Now()
	}
	switch action {
	case 0:
		// no message is in flight for longer than the window
		if m.clock.Now().Sub(m.sentAt[id]) <= m.recorder.config.Window {
			_ = m.recorder.Receive(id)
		}
	case 1:
		if m.recorder.Start(id) == nil {
			m.started[id]++
		}
	case 2:
		if m.started[id] > 0 {
			m.recorder.Finish(id, answered(id, "12345"))
		} else {
			m.recorder.Finish(id, eelgrassbeam.NotRun(id, eelgrassbeam.ReasonQueueFull))
		}
	case 3:
		answer, _ := m.recorder.Cancel(id, incarnation, m.clock.Now().Sub(m.sentAt[id]))
		if answer == eelgrassbeam.CancelNotStarted {
			m.notStarted[id] = true
		}
	case 4:
		m.clock.Advance(sweepInterval)
		m.recorder.advance()
	}
}

// findViolation returns an ID that ran twice, or ran after Cancel returned not_started; empty if there is none.
func (m *model) findViolation() eelgrassbeam.RequestID {
	for id, count := range m.started {
		if count > 1 || m.notStarted[id] {
			return id
		}
	}
	return ""
}

func TestCancelledRequestNeverRuns(t *testing.T) {
	ids := []eelgrassbeam.RequestID{"a", "b", "c", "d", "e", "f"}
	t.Run("in any order of calls", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				m.step(rapid.IntRange(0, 4).Draw(t, "action"), rapid.SampledFrom(ids).Draw(t, "id"))
				if id := m.findViolation(); id != "" {
					t.Fatalf("%s ran twice, or after it was reported as not started", id)
				}
			}
		})
	})
	t.Run("violated without the bar check", func(t *testing.T) {
		m := newModel()
		m.recorder.skipBarCheck = true
		for _, action := range []int{0, 3, 1} {
			m.step(action, "a")
		}
		is.New(t).Equal(m.findViolation(), eelgrassbeam.RequestID("a"))
	})
	t.Run("when start and cancel race", func(t *testing.T) {
		is := is.New(t)
		for range 500 {
			r := newRecorder(clockwork.NewRealClock())
			is.NoErr(r.Receive("a"))
			var group sync.WaitGroup
			var start error
			var answer eelgrassbeam.Cancellation
			group.Go(func() { start = r.Start("a") })
			group.Go(func() { answer, _ = r.Cancel("a", incarnation, 0) })
			group.Wait()
			is.Equal(start != nil, answer == eelgrassbeam.CancelNotStarted)
		}
	})
}

func TestCancel(t *testing.T) {
	t.Run("bars an ID that arrives later", func(t *testing.T) {
		r := newRecorder(clockwork.NewFakeClock())
		assertCancel(t, r, "a", time.Second, eelgrassbeam.CancelNotStarted)
		is.New(t).True(errors.Is(r.Receive("a"), ErrBarred))
	})
	t.Run("is unknown beyond the window", func(t *testing.T) {
		assertCancel(t, newRecorder(clockwork.NewFakeClock()), "a", 11*time.Second, eelgrassbeam.CancelRunning)
	})
	t.Run("is unknown for another incarnation", func(t *testing.T) {
		got, _ := newRecorder(clockwork.NewFakeClock()).Cancel("a", incarnation+1, 0)
		is.New(t).Equal(got, eelgrassbeam.CancelRunning)
	})
	t.Run("returns the reply, or running once it is evicted", func(t *testing.T) {
		is := is.New(t)
		r := newRecorder(clockwork.NewFakeClock())
		for _, id := range []eelgrassbeam.RequestID{"a", "b"} {
			is.NoErr(r.Receive(id))
			is.NoErr(r.Start(id))
			r.Finish(id, answered(id, "12345"))
		}
		assertCancel(t, r, "a", 0, eelgrassbeam.CancelRunning)
		assertCancel(t, r, "b", 0, eelgrassbeam.CancelDone)
		var duplicate *DuplicateError
		is.True(errors.As(r.Receive("b"), &duplicate))
		is.Equal(duplicate.State, StateDone)
		is.Equal(string(duplicate.Reply.Body), "12345")
	})
}

func TestFull(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newRecorder(clock)
	for _, id := range []eelgrassbeam.RequestID{"a", "b", "c"} {
		is.NoErr(r.Receive(id))
		is.NoErr(r.Start(id))
		r.Finish(id, eelgrassbeam.NotRun(id, eelgrassbeam.ReasonUpstreamRefused))
	}
	is.NoErr(r.Receive("refused"))
	r.Finish("refused", eelgrassbeam.NotRun("refused", eelgrassbeam.ReasonQueueFull)) // does not use capacity
	is.NoErr(r.Receive("d"))
	is.True(errors.Is(r.Receive("e"), ErrFull))
	assertCancel(t, r, "e", 0, eelgrassbeam.CancelRunning) // not_started is not returned if the bar cannot be recorded
	clock.Advance(time.Hour)
	r.advance()
	is.True(errors.Is(r.Receive("e"), ErrFull)) // a pause of the process expires nothing
	for range 24 {
		clock.Advance(sweepInterval)
		r.advance()
	}
	is.NoErr(r.Receive("e"))
	is.NoErr(r.Start("d")) // a request in progress never expires
	is.Equal(len(r.records), 2)
}

func TestRun(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRecorder(clock)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	assertCancel(t, r, "a", 0, eelgrassbeam.CancelNotStarted)
	for range 23 {
		is.New(t).NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(sweepInterval)
	}
	is.New(t).NoErr(clock.BlockUntilContext(ctx, 1))
	is.New(t).NoErr(r.Receive("a"))
	cancel()
	is.New(t).NoErr(<-done)
}
