//go:build unguarded

package deduplicator

// SkipClaimCheck accepts written claims without checking the claims of other homes.
func (d *Deduplicator) SkipClaimCheck() { d.skipClaimCheck = true }
