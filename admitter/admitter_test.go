package admitter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestAdmit(t *testing.T) {
	t.Run("a free slot is assigned at once, a busy one when it is released", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		first, err := s.Admit(t.Context(), request("a", eelgrassbeam.RankUrgent), s.in(time.Second))
		is.NoErr(err)
		second := s.submit("a", eelgrassbeam.RankUrgent, time.Second)
		is.Equal(s.Load(), eelgrassbeam.SiteLoad{Slots: 1, InProgress: 1, Waiting: 1, RankWaiting: [eelgrassbeam.RankCount]int{1}})
		first.Release(Result{Outcome: OutcomeOK, Duration: time.Millisecond})
		first.Release(Result{Outcome: OutcomeOK, Duration: time.Millisecond})
		is.True(second.slot != nil)
		is.Equal(s.Load().InProgress, 1)
	})
	t.Run("a cancelled or expired request leaves the queue", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		s.submit("a", eelgrassbeam.RankUrgent, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := s.Admit(ctx, request("a", eelgrassbeam.RankUrgent), s.in(time.Second))
		is.True(errors.Is(err, context.Canceled))
		failed := make(chan error, 1)
		go func() {
			_, err := s.Admit(t.Context(), request("a", eelgrassbeam.RankUrgent), s.in(time.Second))
			failed <- err
		}()
		is.NoErr(s.clock.BlockUntilContext(t.Context(), 2))
		s.clock.Advance(time.Second)
		is.True(errors.Is(<-failed, ErrDeadline))
		is.Equal(s.Load().Waiting, 0)
	})
	t.Run("requests are refused without upstreams, past the deadline, after close and when the queue is full", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		is.True(errors.Is(s.submit("a", eelgrassbeam.RankUrgent, 0).err, ErrDeadline))
		for range queueLimit + 1 {
			is.NoErr(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err)
		}
		is.True(errors.Is(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err, ErrQueueFull))
		waiting := s.submit("a", eelgrassbeam.RankStandard, time.Second)
		s.SetUpstreams(nil)
		is.True(errors.Is(waiting.err, ErrNoUpstream))
		is.True(errors.Is(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err, ErrNoUpstream))
		s.Close()
		is.True(errors.Is(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err, ErrClosed))
	})
	t.Run("a request whose expected wait exceeds its deadline is refused at once", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			is, s := is.New(t), newSite(t, 1)
			s.disabled.earlyRefusal = off
			s.serviceTime.add(100 * time.Millisecond)
			for range 4 {
				is.NoErr(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err)
			}
			err := s.submit("a", eelgrassbeam.RankUrgent, 300*time.Millisecond).err
			is.Equal(errors.Is(err, ErrDeadline), !off)
		}
	})
	t.Run("the expected wait includes the team's own backlog", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1)
		running := s.submit("a", eelgrassbeam.RankUrgent, time.Second)
		for range 3 {
			is.NoErr(s.submit("a", eelgrassbeam.RankUrgent, time.Second).err)
		}
		s.clock.Advance(time.Second / 5)
		running.slot.Release(Result{Outcome: OutcomeOK, Duration: time.Millisecond})
		is.True(errors.Is(s.submit("a", eelgrassbeam.RankUrgent, time.Second/2).err, ErrDeadline))
		is.NoErr(s.submit("b", eelgrassbeam.RankUrgent, time.Second/2).err)
	})
}

func TestAdmitFromManyCallers(t *testing.T) {
	is, s := is.New(t), newSite(t, 2, 2)
	var group errgroup.Group
	var maxInProgress, inProgress atomic.Int32
	for range 8 {
		group.Go(func() error {
			for range 200 {
				slot, err := s.Admit(t.Context(), request("a", eelgrassbeam.RankUrgent), s.in(time.Hour))
				if err != nil {
					return err
				}
				if n := inProgress.Add(1); n > maxInProgress.Load() {
					maxInProgress.Store(n)
				}
				inProgress.Add(-1)
				slot.Release(Result{Outcome: OutcomeOK, Duration: time.Nanosecond})
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.True(maxInProgress.Load() <= 4)
	is.Equal(s.Load().InProgress, 0)
}

func TestFairness(t *testing.T) {
	t.Run("a full queue evicts the newest request of the team with the longest queue", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			is, s := is.New(t), newSite(t, 1)
			s.disabled.fairness = off
			var last *submission
			for range queueLimit + 1 {
				last = s.submit("a", eelgrassbeam.RankUrgent, time.Second)
			}
			other := s.submit("b", eelgrassbeam.RankUrgent, time.Second)
			is.Equal(errors.Is(other.err, ErrQueueFull), off)
			is.Equal(errors.Is(last.err, ErrQueueFull), !off)
		}
	})
	t.Run("teams are served in proportion to their weights", func(t *testing.T) {
		is := is.New(t)
		q := newFairQueue(1000, map[eelgrassbeam.TeamID]float64{"b": 0.02, "c": 0.04})
		for range 100 {
			for _, id := range []eelgrassbeam.TeamID{"b", "c"} {
				q.push(&Ticket{request: request(id, eelgrassbeam.RankUrgent)}, true)
			}
		}
		served := make(map[eelgrassbeam.TeamID]int)
		for range 90 {
			served[q.pop(time.Time{}).request.Team]++
		}
		is.Equal(served["b"], 30)
		is.Equal(served["c"], 60)
	})
	t.Run("newly arriving teams do not starve a waiting team", func(t *testing.T) {
		is := is.New(t)
		q := newFairQueue(1000, nil)
		for range 2 {
			q.push(&Ticket{request: request("a", eelgrassbeam.RankUrgent)}, true)
		}
		served := 0
		for i := range 10 {
			q.push(&Ticket{request: request(eelgrassbeam.TeamID(fmt.Sprint(i)), eelgrassbeam.RankUrgent)}, true)
			if q.pop(time.Time{}).request.Team == "a" {
				served++
			}
		}
		is.Equal(served, 2)
	})
}

const (
	queueLimit = 16
	step       = 10 * time.Millisecond
)

type site struct {
	*Admitter
	clock *clockwork.FakeClock
}

type submission struct {
	slot *Slot
	err  error
}

func newSite(t *testing.T, slots ...int) *site {
	t.Helper()
	clock := clockwork.NewFakeClock()
	service := eelgrassbeam.Service{Name: "booking"}
	for i, rank := range eelgrassbeam.Ranks() {
		service.Ranks = append(service.Ranks, eelgrassbeam.RankPolicy{
			Rank: rank, Floor: []float64{0, 0.2, 0.1}[i], QueueLimit: queueLimit, Deadline: eelgrassbeam.Seconds(1),
		})
	}
	s := &site{Admitter: New(Config{Service: service, Clock: clock, WaitShare: 1}), clock: clock}
	s.SetUpstreams(upstreams(slots...))
	return s
}

func upstreams(slots ...int) []UpstreamSlots {
	var set []UpstreamSlots
	for i, n := range slots {
		id := eelgrassbeam.UpstreamID(fmt.Sprintf("u%d", i))
		set = append(set, UpstreamSlots{Upstream: eelgrassbeam.Upstream{ID: id, State: eelgrassbeam.InstanceLive}, Slots: n})
	}
	return set
}

func request(team eelgrassbeam.TeamID, rank eelgrassbeam.Rank) eelgrassbeam.Request {
	return eelgrassbeam.Request{ID: "r", Team: team, Rank: rank, Attempt: 1}
}

func (s *site) in(d time.Duration) time.Time { return s.clock.Now().Add(d) }

func (s *site) submit(team eelgrassbeam.TeamID, rank eelgrassbeam.Rank, left time.Duration) *submission {
	got := &submission{}
	s.Submit(request(team, rank), s.in(left), func(slot *Slot, err error) { got.slot, got.err = slot, err })
	return got
}

func BenchmarkAdmit(b *testing.B) {
	clock := clockwork.NewRealClock()
	service := eelgrassbeam.Service{Name: "booking", Ranks: []eelgrassbeam.RankPolicy{{Rank: eelgrassbeam.RankUrgent, QueueLimit: queueLimit}}}
	a := New(Config{Service: service, Clock: clock})
	a.SetUpstreams(upstreams(3, 3, 3))
	r := request("a", eelgrassbeam.RankUrgent)
	for b.Loop() {
		slot, err := a.Admit(b.Context(), r, clock.Now().Add(time.Second))
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(Result{Outcome: OutcomeOK, Duration: time.Millisecond})
	}
}
