//go:build unguarded

package changer

// DisableOutcomeCheck makes the changer treat every error as proof that the change is not stored.
func (c *Changer) DisableOutcomeCheck() { c.trustsErrors = true }
