//go:build unguarded

package directserver

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/guardselector"
)

// disablers maps the name of each guard, a safety check that tests can turn off, to the function that disables it.
var disablers = map[string]func(f *Server){
	"upstream_echo":    func(f *Server) { f.upstreams.DisableRequestIDCheck() },
	"upstream_whole":   func(f *Server) { f.upstreams.DisableCompletenessCheck() },
	"upstream_handed":  func(f *Server) { f.upstreams.DisableAtMostOnce() },
	"forwarder_resend": func(f *Server) { f.forwarder.RetryNonIdempotent() },
	"viewer_leaving":   func(f *Server) { f.viewer.TreatLeavingAsLive() },
	"fronter_stop":     func(f *Server) { f.stopsImmediately = true },
}

// Guards returns the sorted names of the guards that can be disabled.
func Guards() []string { return slices.Sorted(maps.Keys(disablers)) }

func init() {
	disableGuards = func(f *Server) {
		for _, name := range guardselector.DisabledGuards() {
			if disable, ok := disablers[name]; ok {
				f.log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				disable(f)
			}
		}
	}
}
