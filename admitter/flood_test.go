package admitter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	floodDuration = 20 * time.Second
	serviceTime   = 5 * step
)

// running is a request in progress at a fake upstream with a fixed service time.
type running struct {
	rank eelgrassbeam.Rank
	slot *Slot
	ends time.Time
}

// flood keeps the queues of the ranks full for floodDuration and returns the slot time that each rank got.
func flood(s *site, ranks ...eelgrassbeam.Rank) map[eelgrassbeam.Rank]time.Duration {
	used := make(map[eelgrassbeam.Rank]time.Duration)
	var work []running
	for end := s.in(floodDuration); s.clock.Now().Before(end); s.clock.Advance(step) {
		now := s.clock.Now()
		for len(work) > 0 && !work[0].ends.After(now) {
			done := work[0]
			work = work[1:]
			done.slot.Release(Result{Outcome: OutcomeOK, Duration: serviceTime})
		}
		for _, rank := range ranks {
			for range queueLimit {
				s.Submit(request("a", rank), now.Add(time.Hour), func(slot *Slot, err error) {
					if err == nil {
						used[rank] += serviceTime
						work = append(work, running{rank: rank, slot: slot, ends: s.clock.Now().Add(serviceTime)})
					}
				})
			}
		}
	}
	return used
}

func TestFloors(t *testing.T) {
	for _, slots := range [][]int{{3}, {3, 3}, {5, 5}, {3, 3, 3}} {
		t.Run("every rank gets its floor when all ranks are overloaded", func(t *testing.T) {
			is, s := is.New(t), newSite(t, slots...)
			checkFloors(is, flood(s, eelgrassbeam.RankUrgent, eelgrassbeam.RankStandard, eelgrassbeam.RankBackground), s.Load().Slots, true)
		})
		t.Run("without floors urgent requests take all slots", func(t *testing.T) {
			is, s := is.New(t), newSite(t, slots...)
			s.disabled.floors = true
			checkFloors(is, flood(s, eelgrassbeam.RankUrgent, eelgrassbeam.RankStandard, eelgrassbeam.RankBackground), s.Load().Slots, false)
		})
	}
	t.Run("a single rank takes all slots", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 3)
		used := flood(s, eelgrassbeam.RankBackground)
		is.True(used[eelgrassbeam.RankBackground] >= 3*floodDuration)
	})
}

func TestReserve(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("reserve disabled=%t", off), func(t *testing.T) {
			is, s := is.New(t), newSite(t, 3, 3)
			s.disabled.reserve = off
			urgent, background := s.ranks[0], s.ranks[eelgrassbeam.RankBackground.Index()]
			urgent.serviceTime.add(serviceTime)
			background.serviceTime.add(10 * serviceTime)
			background.higherShare = 0.2
			for range 6 {
				s.submit("a", eelgrassbeam.RankBackground, time.Hour)
			}
			got := s.submit("a", eelgrassbeam.RankUrgent, time.Hour)
			is.Equal(got.slot != nil, !off)
			is.True(s.Load().InProgress >= 3)
		})
	}
	t.Run("requests in progress at a removed upstream use no slot of the others", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 3)
		for range 3 {
			is.NoErr(s.submit("a", eelgrassbeam.RankUrgent, time.Hour).err)
		}
		set := upstreams(3, 1)
		s.SetUpstreams(set[1:])
		is.True(s.submit("a", eelgrassbeam.RankBackground, time.Hour).slot != nil)
	})
}

func checkFloors(is *is.I, used map[eelgrassbeam.Rank]time.Duration, slots int, wantKept bool) {
	is.Helper()
	slotSeconds := float64(slots) * floodDuration.Seconds()
	is.Equal(used[eelgrassbeam.RankStandard].Seconds() >= 0.95*0.2*slotSeconds, wantKept)
	is.Equal(used[eelgrassbeam.RankBackground].Seconds() >= 0.95*0.1*slotSeconds, wantKept)
	is.True(used[eelgrassbeam.RankUrgent].Seconds() >= 0.6*slotSeconds)
}

func TestUpstreamChoice(t *testing.T) {
	t.Run("an upstream that fails fast gets no extra requests", func(t *testing.T) {
		for _, off := range []bool{false, true} {
			is, s := is.New(t), newSite(t, 3, 3, 3)
			s.disabled.failureHold = off
			is.Equal(failingShare(s) <= 1.0/3, !off)
		}
	})
	t.Run("a slot of an upstream held after a failure is assigned when the hold ends", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 1, 1)
		s.serviceTime.add(serviceTime)
		busy, failed := s.submit("a", eelgrassbeam.RankUrgent, time.Hour), s.submit("a", eelgrassbeam.RankUrgent, time.Hour)
		is.NoErr(busy.err)
		failed.slot.Release(Result{Outcome: OutcomeFailed})
		given := make(chan *Slot, 1)
		s.Submit(request("a", eelgrassbeam.RankUrgent), s.in(time.Hour), func(slot *Slot, _ error) { given <- slot })
		is.Equal(s.Load().Waiting, 1)
		var group errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error { return s.Run(ctx) })
		is.NoErr(s.clock.BlockUntilContext(t.Context(), 1))
		s.clock.Advance(serviceTime)
		is.Equal((<-given).Upstream.ID, failed.slot.Upstream.ID)
		cancel()
		is.NoErr(group.Wait())
	})
	t.Run("an upstream that reports full load but answers fast keeps its limit", func(t *testing.T) {
		is, s := is.New(t), newSite(t, 3, 3)
		is.Equal(limitAfter(s, func(id eelgrassbeam.UpstreamID) Result {
			return Result{Outcome: OutcomeOK, Duration: serviceTime, Load: 1, HasLoad: id == "u0"}
		}), 3)
	})
	t.Run("an upstream that is slow and reports full load, or sheds load, gets a lower limit", func(t *testing.T) {
		is := is.New(t)
		slow := func(id eelgrassbeam.UpstreamID) Result {
			if id == "u0" {
				return Result{Outcome: OutcomeOK, Duration: 4 * serviceTime, Load: 1, HasLoad: true}
			}
			return Result{Outcome: OutcomeOK, Duration: serviceTime}
		}
		is.True(limitAfter(newSite(t, 3, 3), slow) < 3)
		shed := func(id eelgrassbeam.UpstreamID) Result {
			if id == "u0" {
				return Result{Outcome: OutcomeShed}
			}
			return Result{Outcome: OutcomeOK, Duration: serviceTime}
		}
		is.Equal(limitAfter(newSite(t, 3, 3), shed), 1)
	})
}

// failingShare returns the share of requests that start at u0, which fails at once while the other upstreams answer.
func failingShare(s *site) float64 {
	var work []running
	starts := map[eelgrassbeam.UpstreamID]int{}
	for end := s.in(floodDuration); s.clock.Now().Before(end); s.clock.Advance(step) {
		before := work
		work = nil
		for _, r := range before {
			switch {
			case r.slot.Upstream.ID == "u0":
				r.slot.Release(Result{Outcome: OutcomeFailed, Duration: step})
			case !r.ends.After(s.clock.Now()):
				r.slot.Release(Result{Outcome: OutcomeOK, Duration: serviceTime})
			default:
				work = append(work, r)
			}
		}
		for range queueLimit {
			s.Submit(request("a", eelgrassbeam.RankUrgent), s.in(time.Hour), func(slot *Slot, err error) {
				if err == nil {
					starts[slot.Upstream.ID]++
					work = append(work, running{slot: slot, ends: s.in(serviceTime)})
				}
			})
		}
	}
	return float64(starts["u0"]) / float64(starts["u0"]+starts["u1"]+starts["u2"])
}

func limitAfter(s *site, result func(eelgrassbeam.UpstreamID) Result) int {
	for range 100 {
		var slots []*Slot
		for range 6 {
			s.Submit(request("a", eelgrassbeam.RankUrgent), s.in(time.Hour), func(slot *Slot, err error) {
				if err == nil {
					slots = append(slots, slot)
				}
			})
		}
		s.clock.Advance(serviceTime)
		for i := 0; i < len(slots); i++ {
			slots[i].Release(result(slots[i].Upstream.ID))
		}
	}
	return s.upstreams.states[0].bound()
}

// TestSlotAccounting checks over random steps that the count of requests in progress matches the assigned slots and
// that every ticket is decided once.
func TestSlotAccounting(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSite(t, 2, 3)
		decided, submitted := 0, 0
		var held []*Slot
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 200).Draw(r, "steps")
		for _, kind := range steps {
			switch {
			case kind <= 2:
				submitted++
				s.Submit(request("a", eelgrassbeam.Ranks()[kind]), s.in(serviceTime), func(slot *Slot, _ error) {
					decided++
					if slot != nil {
						held = append(held, slot)
					}
				})
			case kind == 3 && len(held) > 0:
				slot := held[0]
				held = held[1:]
				slot.Release(Result{Outcome: rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeFailed, OutcomeShed, OutcomeAbandoned}).Draw(r, "outcome"), Duration: step})
			case kind == 4:
				s.SetUpstreams(upstreams(rapid.IntRange(0, 3).Draw(r, "u0"), rapid.IntRange(0, 3).Draw(r, "u1")))
			default:
				s.clock.Advance(step)
			}
			checkSlots(r, s, len(held))
		}
		s.Close()
		if decided != submitted {
			r.Fatalf("%d of %d tickets were decided", decided, submitted)
		}
	})
}

func checkSlots(r *rapid.T, s *site, held int) {
	total := 0
	for _, u := range s.upstreams.states {
		total += u.inProgress
	}
	if total != held || s.Load().InProgress != held {
		r.Fatalf("%d requests in progress, but %d slots assigned", total, held)
	}
}
