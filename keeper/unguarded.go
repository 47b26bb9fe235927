//go:build unguarded

package keeper

// UnguardClaims counts a claim without a look at other homes' claims.
func (k *Keeper) UnguardClaims() { k.trustWrites = true }
