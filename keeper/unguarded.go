//go:build unguarded

package keeper

// SkipClaimCheck accepts written claims without checking the claims of other homes.
func (k *Keeper) SkipClaimCheck() { k.skipClaimCheck = true }
