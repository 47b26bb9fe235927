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
	t.Run("zone first", func(t *testing.T) {
		checkOwner(t, fleetOf(1, near, far, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == near.ID })
	})
	t.Run("else region", func(t *testing.T) {
		checkOwner(t, fleetOf(1, far, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == far.ID })
	})
	t.Run("else none", func(t *testing.T) {
		checkOwner(t, fleetOf(1, foreign), func(e eelgrassbeam.Entry) bool { return e.ID == "" })
	})
	t.Run("leaving entries own nothing", func(t *testing.T) {
		near.State = eelgrassbeam.InstanceLeaving
		checkOwner(t, fleetOf(1, near, far), func(e eelgrassbeam.Entry) bool { return e.ID == far.ID })
	})
}

const (
	step   = 100 * time.Millisecond
	maxLag = 10 // steps; below the settling time
)

// member is one entry of the model.
type member struct {
	*Assigner
	entry     eelgrassbeam.Entry
	seen      *eelgrassbeam.Fleet
	until     time.Time
	since     time.Time
	busyUntil time.Time
}

func (m *member) Fleet() *eelgrassbeam.Fleet   { return m.seen }
func (m *member) HoldsTerm(now time.Time) bool { return now.Before(m.until) }
func (m *member) HeldSince() time.Time         { return m.since }

// model runs the entries of one zone over views that come at different times.
type model struct {
	random  *rand.Rand
	clock   *clockwork.FakeClock
	history []*eelgrassbeam.Fleet
	members []*member
}

func newModel(t *rapid.T, skipsSettle bool) *model {
	m := &model{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), clock: clockwork.NewFakeClock()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var entries []eelgrassbeam.Entry
	for i := range 4 {
		entries = append(entries, entry(i, site.Zone, "r0"))
	}
	for range maxLag + 1 {
		m.history = append(m.history, fleetOf(1, entries...))
	}
	for _, e := range entries {
		x := &member{entry: e, seen: m.history[0], since: m.clock.Now(), until: m.clock.Now().Add(time.Hour)}
		x.Assigner = New(Config{
			Self: e, Fleet: x, Terms: x, Clock: m.clock, Log: log,
			InProgress: func(eelgrassbeam.Site) int {
				if m.clock.Now().Before(x.busyUntil) {
					return 1
				}
				return 0
			},
		})
		x.skipsSettle = skipsSettle
		m.members = append(m.members, x)
	}
	return m
}

// disturb changes one entry's state in the view that all come to see. A failed entry's term has run out by then.
func (m *model) disturb() {
	last := m.history[len(m.history)-1]
	next := fleetOf(last.Revision, last.Entries...)
	if m.random.IntN(10) == 0 {
		i := m.random.IntN(len(m.members))
		states := []eelgrassbeam.InstanceState{eelgrassbeam.InstanceLive, eelgrassbeam.InstanceLeaving, eelgrassbeam.InstanceFailed}
		state := states[m.random.IntN(len(states))]
		next = fleetOf(last.Revision+1, slices.Clone(last.Entries)...)
		next.Entries[i].State = state
		x := m.members[i]
		if state == eelgrassbeam.InstanceFailed {
			x.until = m.clock.Now()
		} else if !x.HoldsTerm(m.clock.Now()) {
			x.since, x.until = m.clock.Now(), m.clock.Now().Add(time.Hour)
		}
	}
	m.history = append(m.history, next)
}

func (m *model) byID(id eelgrassbeam.EntryID) *member {
	i := slices.IndexFunc(m.members, func(x *member) bool { return x.entry.ID == id })
	return m.members[i]
}

// run returns the first step at which two entries may dispatch to the site.
func (m *model) run() (began int, fault error) {
	for range 150 {
		m.clock.Advance(step)
		m.disturb()
		for _, x := range m.members {
			lag := m.random.IntN(maxLag + 1)
			if view := m.history[len(m.history)-1-lag]; view.Revision > x.seen.Revision {
				x.seen = view
			}
		}
		for _, x := range m.members {
			for _, due := range x.due() {
				reply, _ := m.byID(due.to.ID).receive(context.Background(), &handover{From: x.entry.ID, Site: due.site})
				x.finish(due, reply.Accepted)
			}
		}
		var may []eelgrassbeam.EntryID
		for _, x := range m.members {
			if _, ok := x.MayDispatch(x.seen, site, m.clock.Now()); ok {
				may = append(may, x.entry.ID)
				x.busyUntil = m.clock.Now().Add(step * time.Duration(m.random.IntN(9)))
			}
		}
		began += len(may)
		if len(may) > 1 {
			return began, fmt.Errorf("%v may dispatch to %s", may, site)
		}
	}
	return began, nil
}

func TestOneDispatcher(t *testing.T) {
	t.Run("guard on", func(t *testing.T) {
		began := 0
		rapid.Check(t, func(t *rapid.T) {
			count, err := newModel(t, false).run()
			began += count
			if err != nil {
				t.Fatal(err)
			}
		})
		is.New(t).True(began > 0)
	})
	t.Run("guard off", func(t *testing.T) {
		faults := 0
		rapid.Check(t, func(t *rapid.T) {
			if _, err := newModel(t, true).run(); err != nil {
				faults++
			}
		})
		is.New(t).True(faults > 0) // without the wait two entries dispatch
	})
}
