//go:build unguarded

package steerer

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/unguarder"
)

// guardDisablers maps the name of each guard to the function that disables it.
var guardDisablers = map[string]func(s *Steerer){
	"resend_unknown":  func(s *Steerer) { s.sender.UnguardResend() },
	"upstream_echo":   func(s *Steerer) { s.upstreams.UnguardEcho() },
	"upstream_whole":  func(s *Steerer) { s.upstreams.UnguardWhole() },
	"upstream_handed": func(s *Steerer) { s.upstreams.UnguardHanded() },
	"key_claims":      func(s *Steerer) { s.keeper.UnguardClaims() },
	"relayer_verify":  func(s *Steerer) { s.relayer.UnguardVerify() },
	"changer_errors":  func(s *Steerer) { s.changer.UnguardErrors() },
	"monitor_term":    func(s *Steerer) { s.monitor.UnguardTerm() },
	"peer_ping":       func(s *Steerer) { s.requestPool.UnguardPing() },
}

// Guards returns the names of the guards that can be disabled, sorted.
func Guards() []string { return slices.Sorted(maps.Keys(guardDisablers)) }

func init() {
	disableGuards = func(s *Steerer) {
		for _, name := range unguarder.Names() {
			if disable, ok := guardDisablers[name]; ok {
				s.config.Log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				disable(s)
			}
		}
	}
}
