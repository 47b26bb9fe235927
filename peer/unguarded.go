//go:build unguarded

package peer

// DisablePing keeps unresponsive connections open. It must be called before Run.
func (p *Pool) DisablePing() { p.pingDisabled = true }
