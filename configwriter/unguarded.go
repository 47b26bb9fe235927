//go:build unguarded

package configwriter

// DisableOutcomeCheck makes the ConfigWriter treat every error as proof that the change is not stored.
func (c *ConfigWriter) DisableOutcomeCheck() { c.trustsErrors = true }
