package dispatcher

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// fakeView is a fixed fleet and configuration; the entry dispatches for all sites until released is set.
type fakeView struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
	released      bool
}

func (v *fakeView) Fleet() *eelgrassbeam.Fleet { return v.fleet }

func (v *fakeView) Configuration() (*eelgrassbeam.Configuration, bool) { return v.configuration, true }

func (v *fakeView) MayDispatch(*eelgrassbeam.Fleet, eelgrassbeam.Site, time.Time) (time.Time, bool) {
	return time.Time{}, !v.released
}

var testSite = eelgrassbeam.Site{Service: "booking", Zone: "z1"}

func newTestDispatcher() (*fakeView, *Dispatcher) {
	v := &fakeView{
		fleet: &eelgrassbeam.Fleet{Upstreams: []eelgrassbeam.Upstream{
			{ID: "u1", Service: "booking", Zone: "z1", State: eelgrassbeam.InstanceLive},
			{ID: "u2", Service: "booking", Zone: "z1", State: eelgrassbeam.InstanceLive},
		}},
		configuration: &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
			Services: []eelgrassbeam.Service{{Name: "booking", SlotsPerUpstream: 3}},
		}},
	}
	return v, New(Config{Clock: clockwork.NewFakeClock(), Fleet: v, Configuration: v, Assigner: v})
}

func TestReconcile(t *testing.T) {
	slots := func(d *Dispatcher) int {
		d.reconcile()
		s, ok := d.site(testSite)
		if !ok {
			return -1
		}
		return s.queue.Load().Slots
	}
	t.Run("a site has the slots of its upstreams while the entry dispatches for it", func(t *testing.T) {
		is := is.New(t)
		v, d := newTestDispatcher()
		is.Equal(slots(d), 6)
		v.released = true
		is.Equal(slots(d), -1)
	})
	t.Run("an upstream that announces that it is leaving, or is listed as leaving, has no slots", func(t *testing.T) {
		is := is.New(t)
		v, d := newTestDispatcher()
		is.Equal(slots(d), 6)
		d.leaving["u1"] = d.config.Clock.Now()
		is.Equal(slots(d), 3)
		left := *v.fleet
		left.Upstreams = []eelgrassbeam.Upstream{v.fleet.Upstreams[0], v.fleet.Upstreams[1]}
		left.Upstreams[1].State = eelgrassbeam.InstanceLeaving
		v.fleet = &left
		is.Equal(slots(d), 0)
	})
	t.Run("changed team weights are applied to the existing queue", func(t *testing.T) {
		is := is.New(t)
		v, d := newTestDispatcher()
		is.Equal(slots(d), 6)
		before, _ := d.site(testSite)
		changed := *v.configuration
		changed.Defaults.TeamWeights = map[eelgrassbeam.TeamID]float64{"quito": 2}
		v.configuration = &changed
		is.Equal(slots(d), 6)
		after, _ := d.site(testSite)
		is.True(before.queue == after.queue)
		is.Equal(after.weights["quito"], 2.0)
	})
}
