//go:build unguarded

package forwarder

// UnguardResend sends non-idempotent requests of unknown outcome again.
func (f *Forwarder) UnguardResend() { f.resendsUnknown = true }
