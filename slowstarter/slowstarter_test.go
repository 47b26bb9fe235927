package slowstarter

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	slowStart = 10 * time.Second
	full      = 20
)

func TestSlowStarter(t *testing.T) {
	t.Run("slots of a cold target rise gradually; without slow start all are available at once", func(t *testing.T) {
		for _, slow := range []time.Duration{slowStart, 0} {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			r := New[string](Config{Clock: clock})
			largestStep, last := 0, 0
			for range 12 {
				slots := r.Slots("u", full, slow)
				largestStep, last = max(largestStep, slots-last), slots
				clock.Advance(time.Second)
			}
			is.Equal(last, full)
			is.Equal(largestStep <= full/5, slow > 0)
		}
	})
	t.Run("a removed target is cold again", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		r := New[string](Config{Clock: clock})
		r.Start("u")
		clock.Advance(slowStart)
		is.Equal(r.Slots("u", full, slowStart), full)
		r.Retain(map[string]bool{"u": true})
		is.Equal(r.Slots("u", full, slowStart), full)
		r.Retain(nil)
		is.Equal(r.Slots("u", full, slowStart), full/10)
	})
	t.Run("NextStep is the time until slots rise", func(t *testing.T) {
		is := is.New(t)
		age := time.Duration(0)
		for slots := Slots(3, age, slowStart); slots < 3; slots++ {
			wait, ok := NextStep(3, age, slowStart)
			is.True(ok)
			is.Equal(Slots(3, age+wait-time.Millisecond, slowStart), slots)
			age += wait + time.Nanosecond
			is.Equal(Slots(3, age, slowStart), slots+1)
		}
		_, ok := NextStep(3, slowStart, slowStart)
		is.True(!ok)
	})
}

func TestFullSlots(t *testing.T) {
	exception := func(setting eelgrassbeam.Setting, kind eelgrassbeam.TargetKind, target, value string) eelgrassbeam.Exception {
		return eelgrassbeam.Exception{ID: target, Setting: setting, TargetKind: kind, Target: target, Value: value}
	}
	tests := map[string]struct {
		state      eelgrassbeam.InstanceState
		exceptions []eelgrassbeam.Exception
		want       int
	}{
		"default":        {state: eelgrassbeam.InstanceLive, want: 3},
		"leaving":        {state: eelgrassbeam.InstanceLeaving, want: 0},
		"drained zone":   {eelgrassbeam.InstanceLive, []eelgrassbeam.Exception{exception(eelgrassbeam.SettingDrain, eelgrassbeam.TargetZone, "z", "true")}, 0},
		"exception":      {eelgrassbeam.InstanceLive, []eelgrassbeam.Exception{exception(eelgrassbeam.SettingSlots, eelgrassbeam.TargetUpstream, "u", "8")}, 8},
		"weighted":       {eelgrassbeam.InstanceLive, []eelgrassbeam.Exception{exception(eelgrassbeam.SettingWeight, eelgrassbeam.TargetRegion, "r", "0.7")}, 2},
		"without weight": {eelgrassbeam.InstanceLive, []eelgrassbeam.Exception{exception(eelgrassbeam.SettingWeight, eelgrassbeam.TargetUpstream, "u", "0")}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			config := &eelgrassbeam.Configuration{
				Defaults:   eelgrassbeam.Defaults{Services: []eelgrassbeam.Service{{Name: "s", SlotsPerUpstream: 3}}},
				Exceptions: test.exceptions,
			}
			u := eelgrassbeam.Upstream{ID: "u", Service: "s", Zone: "z", Region: "r", State: test.state}
			is.New(t).Equal(FullSlots(config, u, time.Time{}), test.want)
		})
	}
}
