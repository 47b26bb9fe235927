//go:build unguarded

package relayer

// UnguardVerify leaves a silent watch undetected.
func (r *Relayer) UnguardVerify() { r.skipsVerify = true }
