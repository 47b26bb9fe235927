//go:build unguarded

package fronter

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/unguarder"
)

// disablers maps the name of each guard, a safety check that tests can turn off, to the function that disables it.
var disablers = map[string]func(f *Fronter){
	"upstream_echo":    func(f *Fronter) { f.upstreams.DisableRequestIDCheck() },
	"upstream_whole":   func(f *Fronter) { f.upstreams.DisableCompletenessCheck() },
	"upstream_handed":  func(f *Fronter) { f.upstreams.DisableAtMostOnce() },
	"forwarder_resend": func(f *Fronter) { f.forwarder.RetryNonIdempotent() },
	"viewer_leaving":   func(f *Fronter) { f.viewer.TreatLeavingAsLive() },
	"fronter_stop":     func(f *Fronter) { f.stopsImmediately = true },
}

// Guards returns the sorted names of the guards that can be disabled.
func Guards() []string { return slices.Sorted(maps.Keys(disablers)) }

func init() {
	unguard = func(f *Fronter) {
		for _, name := range unguarder.DisabledGuards() {
			if disable, ok := disablers[name]; ok {
				f.log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				disable(f)
			}
		}
	}
}
