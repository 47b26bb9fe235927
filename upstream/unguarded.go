//go:build unguarded

package upstream

// UnguardEcho takes answers that carry another request's id.
func (c *Client) UnguardEcho() { c.guards.echo = false }

// UnguardWhole takes answers that end before their announced length.
func (c *Client) UnguardWhole() { c.guards.whole = false }

// UnguardHanded reports requests that were handed over as not run.
func (c *Client) UnguardHanded() { c.guards.handed = false }
