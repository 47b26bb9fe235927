package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
)

// fakeView is a fixed fleet and configuration, with a number of credits per site.
type fakeView struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
	credits       map[eelgrassbeam.Site]int
}

func (v *fakeView) Fleet() *eelgrassbeam.Fleet                         { return v.fleet }
func (v *fakeView) Configuration() (*eelgrassbeam.Configuration, bool) { return v.configuration, true }

func (v *fakeView) Take(site eelgrassbeam.Site, _ eelgrassbeam.Rank, _ time.Time) (uint64, bool) {
	v.credits[site]--
	return 7, v.credits[site] >= 0
}

var (
	testStart = time.Unix(1000, 0)
	self      = eelgrassbeam.Entry{ID: "e0", Zone: "r0-z0", Region: "r0"}
	near      = eelgrassbeam.Site{Service: "booking", Zone: "r0-z0"}
	neighbor  = eelgrassbeam.Site{Service: "booking", Zone: "r0-z1"}
	far       = eelgrassbeam.Site{Service: "booking", Zone: "r1-z0"}
	farOther  = eelgrassbeam.Site{Service: "booking", Zone: "r1-z1"}
	urgent    = eelgrassbeam.Request{Service: "booking", Rank: eelgrassbeam.RankUrgent}
	full      = eelgrassbeam.SiteLoad{Slots: 3, InProgress: 3}
	queued    = eelgrassbeam.SiteLoad{Slots: 3, InProgress: 3, Waiting: 3, RankWaiting: [eelgrassbeam.RankCount]int{3}}
)

// newFakeView returns a view with the given number of regions, each with two zones, and of upstreams per site.
func newFakeView(regions, upstreams int, exceptions ...eelgrassbeam.Exception) *fakeView {
	v := &fakeView{fleet: &eelgrassbeam.Fleet{Revision: 1}, credits: make(map[eelgrassbeam.Site]int)}
	v.configuration = &eelgrassbeam.Configuration{Exceptions: exceptions, Defaults: eelgrassbeam.Defaults{
		Services: []eelgrassbeam.Service{{Name: "booking", SlotsPerUpstream: 3}},
	}}
	for i := range 2 * regions * upstreams {
		region := eelgrassbeam.RegionID(fmt.Sprintf("r%d", i/2/upstreams))
		v.fleet.Upstreams = append(v.fleet.Upstreams, eelgrassbeam.Upstream{
			ID: eelgrassbeam.UpstreamID(fmt.Sprintf("u%02d", i)), Service: "booking", State: eelgrassbeam.InstanceLive,
			Zone: eelgrassbeam.ZoneID(fmt.Sprintf("%s-z%d", region, i/upstreams%2)), Region: region,
		})
	}
	return v
}

func (v *fakeView) router() *Router {
	return New(Config{Self: self, Fleet: v, Configuration: v, Credits: v, Random: rand.NewPCG(1, 0)})
}

func drain(kind eelgrassbeam.TargetKind, target string) eelgrassbeam.Exception {
	return eelgrassbeam.Exception{Setting: eelgrassbeam.SettingDrain, TargetKind: kind, Target: target, Value: "true"}
}

func checkChoice(t *testing.T, r *Router, tried []eelgrassbeam.Site, want eelgrassbeam.Site, grant uint64) {
	t.Helper()
	is := is.New(t)
	choice, err := r.Choose(urgent, tried, testStart)
	is.NoErr(err)
	is.Equal(choice.Site, want)
	is.Equal(choice.Grant, grant)
}

func checkError(t *testing.T, r *Router, want error) {
	t.Helper()
	_, err := r.Choose(urgent, nil, testStart)
	is.New(t).Equal(err, want)
}

func TestChooseInRegion(t *testing.T) {
	t.Run("own zone first", func(t *testing.T) { checkChoice(t, newFakeView(2, 1).router(), nil, near, 0) })
	t.Run("drained zone is skipped", func(t *testing.T) {
		checkChoice(t, newFakeView(2, 1, drain(eelgrassbeam.TargetZone, "r0-z0")).router(), nil, neighbor, 0)
	})
	t.Run("site without undrained upstreams is skipped", func(t *testing.T) {
		checkChoice(t, newFakeView(2, 1, drain(eelgrassbeam.TargetUpstream, "u00")).router(), nil, neighbor, 0)
	})
	t.Run("zone returns when its drain expires", func(t *testing.T) {
		exception := drain(eelgrassbeam.TargetZone, "r0-z0")
		exception.ExpiresAt = testStart.Add(time.Second)
		r := newFakeView(2, 1, exception).router()
		checkChoice(t, r, nil, neighbor, 0)
		choice, err := r.Choose(urgent, nil, testStart.Add(time.Second))
		is.New(t).NoErr(err)
		is.New(t).Equal(choice.Site, near)
	})
	t.Run("a full zone is skipped until its load report is too old", func(t *testing.T) {
		r := newFakeView(2, 1).router()
		checkChoice(t, r, nil, near, 0)
		r.Observe(near, full, testStart)
		checkChoice(t, r, nil, neighbor, 0)
		r.Observe(near, full, testStart.Add(-loadTTL))
		checkChoice(t, r, nil, near, 0)
	})
	t.Run("requests without a reply yet count as load", func(t *testing.T) {
		r := newFakeView(2, 1).router()
		for range 3 {
			checkChoice(t, r, nil, near, 0)
		}
		checkChoice(t, r, nil, neighbor, 0)
	})
	t.Run("tried sites are used last", func(t *testing.T) {
		r := newFakeView(2, 1).router()
		checkChoice(t, r, []eelgrassbeam.Site{near}, neighbor, 0)
		checkChoice(t, r, []eelgrassbeam.Site{near, neighbor}, near, 0)
	})
	t.Run("a site with weight 0.5 gets half of the requests", func(t *testing.T) {
		v := newFakeView(2, 100, eelgrassbeam.Exception{
			Setting: eelgrassbeam.SettingWeight, TargetKind: eelgrassbeam.TargetZone, Target: "r0-z0", Value: "0.5",
		})
		r, count := v.router(), 0
		for range 200 {
			if choice, _ := r.Choose(urgent, nil, testStart); choice.Site == near {
				count++
			}
		}
		is.New(t).True(count > 80 && count < 120)
	})
}

func TestChooseRemote(t *testing.T) {
	drained := drain(eelgrassbeam.TargetRegion, "r0")
	t.Run("drained region without credits has no grant", func(t *testing.T) {
		checkError(t, newFakeView(2, 1, drained).router(), sender.ErrNoGrant)
	})
	t.Run("drained region uses credits of another region", func(t *testing.T) {
		v := newFakeView(2, 1, drained, drain(eelgrassbeam.TargetZone, string(farOther.Zone)))
		v.credits[far] = 1
		r := v.router()
		checkChoice(t, r, nil, far, 7)
		checkError(t, r, sender.ErrNoGrant)
	})
	t.Run("no site is left when all regions are drained", func(t *testing.T) {
		checkError(t, newFakeView(2, 1, drained, drain(eelgrassbeam.TargetRegion, "r1")).router(), sender.ErrNoSite)
	})
	checkQueued := func(t *testing.T, load eelgrassbeam.SiteLoad, want eelgrassbeam.Site, grant uint64) {
		t.Helper()
		v := newFakeView(2, 1, drain(eelgrassbeam.TargetZone, string(farOther.Zone)))
		v.credits[far] = 1
		r := v.router()
		_, _ = r.current(testStart)
		r.Observe(near, load, testStart)
		r.Observe(neighbor, load, testStart)
		checkChoice(t, r, nil, want, grant)
	}
	t.Run("a queue at all sites of the region shifts requests", func(t *testing.T) { checkQueued(t, queued, far, 7) })
	t.Run("full sites without a queue keep requests in the region", func(t *testing.T) { checkQueued(t, full, near, 0) })
	t.Run("a queue of less urgent requests does not shift urgent ones", func(t *testing.T) {
		load := queued
		load.RankWaiting = [eelgrassbeam.RankCount]int{0, 0, 3}
		checkQueued(t, load, near, 0)
	})
}

func BenchmarkChoose(b *testing.B) {
	v := newFakeView(3, 5)
	for i := range 10 {
		v.fleet.Entries = append(v.fleet.Entries, eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(fmt.Sprint("e", i))})
	}
	run := func(chooser sender.Chooser) func(*testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				chooser.Observe(near, full, testStart)
				if _, err := chooser.Choose(urgent, nil, testStart); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	b.Run("router", run(v.router()))
	b.Run("nearest", run(sender.NewNearest(sender.NearestConfig{Self: self, Fleet: v, Configuration: v})))
}
