//go:build unguarded

package steerer

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/unguarder"
)

// guardDisablers maps the name of each guard to the function that disables it.
var guardDisablers = map[string]func(s *Steerer){
	"resend_unknown":  func(s *Steerer) { s.sender.RetryNonIdempotent() },
	"upstream_echo":   func(s *Steerer) { s.upstreams.DisableRequestIDCheck() },
	"upstream_whole":  func(s *Steerer) { s.upstreams.DisableCompletenessCheck() },
	"upstream_handed": func(s *Steerer) { s.upstreams.DisableAtMostOnce() },
	"key_claims":      func(s *Steerer) { s.keeper.SkipClaimCheck() },
	"relayer_verify":  func(s *Steerer) { s.relayer.DisableVersionCheck() },
	"changer_errors":  func(s *Steerer) { s.changer.DisableOutcomeCheck() },
	"monitor_term":    func(s *Steerer) { s.monitor.DisableTermCheck() },
	"peer_ping":       func(s *Steerer) { s.requestPool.DisablePing() },
}

// Guards returns the names of the guards that can be disabled, sorted.
func Guards() []string { return slices.Sorted(maps.Keys(guardDisablers)) }

func init() {
	disableGuards = func(s *Steerer) {
		for _, name := range unguarder.DisabledGuards() {
			if disable, ok := guardDisablers[name]; ok {
				s.config.Log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				disable(s)
			}
		}
	}
}
