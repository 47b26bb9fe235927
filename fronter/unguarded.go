//go:build unguarded

package fronter

import (
	"maps"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam/unguarder"
)

// switches turn guards off by their names.
var switches = map[string]func(f *Fronter){
	"upstream_echo":    func(f *Fronter) { f.upstreams.UnguardEcho() },
	"upstream_whole":   func(f *Fronter) { f.upstreams.UnguardWhole() },
	"upstream_handed":  func(f *Fronter) { f.upstreams.UnguardHanded() },
	"forwarder_resend": func(f *Fronter) { f.forwarder.UnguardResend() },
	"viewer_leaving":   func(f *Fronter) { f.viewer.UnguardLeaving() },
	"fronter_stop":     func(f *Fronter) { f.stopsAtOnce = true },
}

// Guards returns the names of the guards that can be turned off.
func Guards() []string { return slices.Sorted(maps.Keys(switches)) }

func init() {
	unguard = func(f *Fronter) {
		for _, name := range unguarder.Names() {
			if turnOff, ok := switches[name]; ok {
				f.log.WithField("event", "unguarded").WithField("guard", name).Warn("")
				turnOff(f)
			}
		}
	}
}
