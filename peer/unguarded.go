//go:build unguarded

package peer

// UnguardPing keeps unresponsive connections open. It must be called before Run.
func (p *Pool) UnguardPing() { p.pingDisabled = true }
