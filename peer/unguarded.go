//go:build unguarded

package peer

// UnguardPing leaves silent connections open; call it before Run.
func (p *Pool) UnguardPing() { p.skipsPing = true }
