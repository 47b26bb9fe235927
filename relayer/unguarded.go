//go:build unguarded

package relayer

// UnguardVerify disables the detection of silent watches.
func (r *Relayer) UnguardVerify() { r.skipsVerify = true }
