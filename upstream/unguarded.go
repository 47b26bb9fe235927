//go:build unguarded

package upstream

// DisableRequestIDCheck accepts responses that carry another request's ID.
func (c *Client) DisableRequestIDCheck() { c.guards.requestID = false }

// DisableCompletenessCheck accepts responses that end before their declared length.
func (c *Client) DisableCompletenessCheck() { c.guards.complete = false }

// DisableAtMostOnce treats failed requests as not run even if part of them was sent.
func (c *Client) DisableAtMostOnce() { c.guards.atMostOnce = false }
