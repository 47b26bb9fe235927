//go:build unguarded

package upstream

// UnguardEcho accepts responses that carry another request's ID.
func (c *Client) UnguardEcho() { c.guards.requestID = false }

// UnguardWhole accepts responses that end before their declared length.
func (c *Client) UnguardWhole() { c.guards.complete = false }

// UnguardHanded treats failed requests as not run even if part of them was sent.
func (c *Client) UnguardHanded() { c.guards.atMostOnce = false }
