//go:build unguarded

package viewer

// UnguardLeaving makes leaving upstreams count as live.
func (v *Viewer) UnguardLeaving() { v.ignoresLeaving = true }
