package assigner

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

var (
	site    = eelgrassbeam.Site{Service: "booking", Zone: "z0"}
	address = netip.MustParseAddrPort("127.0.0.1:1")
)

func entry(n int, zone eelgrassbeam.ZoneID, region eelgrassbeam.RegionID) eelgrassbeam.Entry {
	return eelgrassbeam.Entry{
		ID: eelgrassbeam.EntryID(fmt.Sprint("e", n)), Zone: zone, Region: region, PeerAddress: address, State: eelgrassbeam.InstanceLive,
	}
}

func fleetOf(revision uint64, entries ...eelgrassbeam.Entry) *eelgrassbeam.Fleet {
	return &eelgrassbeam.Fleet{
		Revision: revision, Entries: entries,
		Upstreams: []eelgrassbeam.Upstream{{ID: "u0", Service: site.Service, Zone: site.Zone, Region: "r0", Address: address}},
	}
}

func checkOwner(t *testing.T, fleet *eelgrassbeam.Fleet, want func(eelgrassbeam.Entry) bool) {
	t.Helper()
	owner, ok := New(Config{}).Owner(fleet, site)
	is.New(t).True(want(owner) && ok == (owner.ID != ""))
}

func TestOwner(t *testing.T) {
	near, far, foreign := entry(1, "z0", "r0"), entry(2, "z1", "r0"), entry(3, "z9", "r9")
	t.Run("prefers an entry in the zone", func(t *testing.T) {
		checkOwner(t, fleetOf(1, near, far, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == near.ID })
	})
	t.Run("falls back to the region", func(t *testing.T) {
		checkOwner(t, fleetOf(1, far, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == far.ID })
	})
	t.Run("has no owner outside the region", func(t *testing.T) {
		checkOwner(t, fleetOf(1, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == "" })
	})
	t.Run("ignores leaving entries", func(t *testing.T) {
		near.State = eelgrassbeam.InstanceLeaving
		checkOwner(t, fleetOf(1, near, far), func(e eelgrassbeam.Entry) bool { return e.ID == far.ID })
	})
}

const (
	step   = 100 * time.Millisecond
	maxLag = 10 // in steps; less than the takeover delay
)

// simulatedEntry is one entry of the simulation with its own view of the fleet.
type simulatedEntry struct {
	*Assigner
	entry     eelgrassbeam.Entry
	view      *eelgrassbeam.Fleet
	termUntil time.Time
	heldSince time.Time
	busyUntil time.Time
}

func (e *simulatedEntry) Fleet() *eelgrassbeam.Fleet   { return e.view }
func (e *simulatedEntry) HoldsTerm(now time.Time) bool { return now.Before(e.termUntil) }
func (e *simulatedEntry) HeldSince() time.Time         { return e.heldSince }

// simulation runs the entries of one zone, which receive fleet snapshots with different delays.
type simulation struct {
	random  *rand.Rand
	clock   *clockwork.FakeClock
	views   []*eelgrassbeam.Fleet
	members []*simulatedEntry
}

func newSimulation(t *rapid.T, takeoverDelayDisabled bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), clock: clockwork.NewFakeClock()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var entries []eelgrassbeam.Entry
	for i := range 4 {
		entries = append(entries, entry(i, site.Zone, "r0"))
	}
	for range maxLag + 1 {
		s.views = append(s.views, fleetOf(1, entries...))
	}
	for _, e := range entries {
		member := &simulatedEntry{entry: e, view: s.views[0], heldSince: s.clock.Now(), termUntil: s.clock.Now().Add(time.Hour)}
		member.Assigner = New(Config{
			Self: e, Fleet: member, Terms: member, Clock: s.clock, Log: log,
			InProgress: func(eelgrassbeam.Site) int {
				if s.clock.Now().Before(member.busyUntil) {
					return 1
				}
				return 0
			},
		})
		member.takeoverDelayDisabled = takeoverDelayDisabled
		s.members = append(s.members, member)
	}
	return s
}

// changeRandomState appends the next fleet snapshot, in which the state of one entry changes with a probability of
// 10 %. The term of a failed entry expires at the same time.
func (s *simulation) changeRandomState() {
	last := s.views[len(s.views)-1]
	next := fleetOf(last.Revision, last.Entries...)
	if s.random.IntN(10) == 0 {
		i := s.random.IntN(len(s.members))
		states := []eelgrassbeam.InstanceState{eelgrassbeam.InstanceLive, eelgrassbeam.InstanceLeaving, eelgrassbeam.InstanceFailed}
		state := states[s.random.IntN(len(states))]
		next = fleetOf(last.Revision+1, slices.Clone(last.Entries)...)
		next.Entries[i].State = state
		member := s.members[i]
		if state == eelgrassbeam.InstanceFailed {
			member.termUntil = s.clock.Now()
		} else if !member.HoldsTerm(s.clock.Now()) {
			member.heldSince, member.termUntil = s.clock.Now(), s.clock.Now().Add(time.Hour)
		}
	}
	s.views = append(s.views, next)
}

func (s *simulation) byID(id eelgrassbeam.EntryID) *simulatedEntry {
	i := slices.IndexFunc(s.members, func(member *simulatedEntry) bool { return member.entry.ID == id })
	return s.members[i]
}

// run returns the number of permitted dispatches, and an error at the first step at which several entries may dispatch
// to the site.
func (s *simulation) run() (dispatches int, err error) {
	for range 150 {
		s.clock.Advance(step)
		s.changeRandomState()
		for _, member := range s.members {
			lag := s.random.IntN(maxLag + 1)
			if received := s.views[len(s.views)-1-lag]; received.Revision > member.view.Revision {
				member.view = received
			}
		}
		for _, member := range s.members {
			for _, pending := range member.dueHandovers() {
				reply, _ := s.byID(pending.to.ID).handleHandover(context.Background(), &handover{From: member.entry.ID, Site: pending.site})
				member.completeHandover(pending, reply.Accepted)
			}
		}
		var dispatchers []eelgrassbeam.EntryID
		for _, member := range s.members {
			if _, ok := member.MayDispatch(member.view, site, s.clock.Now()); ok {
				dispatchers = append(dispatchers, member.entry.ID)
				member.busyUntil = s.clock.Now().Add(step * time.Duration(s.random.IntN(9)))
			}
		}
		dispatches += len(dispatchers)
		if len(dispatchers) > 1 {
			return dispatches, fmt.Errorf("%v may all dispatch to %s", dispatchers, site)
		}
	}
	return dispatches, nil
}

func TestOneDispatcher(t *testing.T) {
	t.Run("with takeover delay", func(t *testing.T) {
		dispatches := 0
		rapid.Check(t, func(t *rapid.T) {
			count, err := newSimulation(t, false).run()
			dispatches += count
			if err != nil {
				t.Fatal(err)
			}
		})
		is.New(t).True(dispatches > 0)
	})
	t.Run("without takeover delay", func(t *testing.T) {
		violations := 0
		rapid.Check(t, func(t *rapid.T) {
			if _, err := newSimulation(t, true).run(); err != nil {
				violations++
			}
		})
		is.New(t).True(violations > 0) // without the takeover delay several entries may dispatch at once
	})
}
