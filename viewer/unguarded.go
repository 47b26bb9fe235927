//go:build unguarded

package viewer

// UnguardLeaving makes the viewer store leaving upstreams as live.
func (v *Viewer) UnguardLeaving() { v.treatsLeavingAsLive = true }
