//go:build unguarded

package viewer

// UnguardLeaving takes upstreams that leave for live ones.
func (v *Viewer) UnguardLeaving() { v.ignoresLeaving = true }
