//go:build unguarded

package keeper

// UnguardClaims accepts written claims without checking the claims of other homes.
func (k *Keeper) UnguardClaims() { k.skipClaimCheck = true }
