//go:build unguarded

package dispatchserver

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/guardselector"
)

// guardDisablers maps the name of each guard to the function that disables it.
var guardDisablers = map[string]func(s *Server){
	"resend_unknown":  func(s *Server) { s.sender.RetryNonIdempotent() },
	"upstream_echo":   func(s *Server) { s.upstreams.DisableRequestIDCheck() },
	"upstream_whole":  func(s *Server) { s.upstreams.DisableCompletenessCheck() },
	"upstream_handed": func(s *Server) { s.upstreams.DisableAtMostOnce() },
	"key_claims":      func(s *Server) { s.deduplicator.SkipClaimCheck() },
	"relayer_verify":  func(s *Server) { s.relayer.DisableVersionCheck() },
	"changer_errors":  func(s *Server) { s.configWriter.DisableOutcomeCheck() },
	"monitor_term":    func(s *Server) { s.monitor.DisableTermCheck() },
	"peer_ping":       func(s *Server) { s.requestPool.DisablePing() },
}

// Guards returns the names of the guards that can be disabled, sorted.
func Guards() []string { return slices.Sorted(maps.Keys(guardDisablers)) }

func init() {
	disableGuards = func(s *Server) {
		for _, name := range guardselector.DisabledGuards() {
			if disable, ok := guardDisablers[name]; ok {
				s.config.Log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				disable(s)
			}
		}
	}
}
