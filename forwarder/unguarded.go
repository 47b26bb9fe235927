//go:build unguarded

package forwarder

// UnguardResend makes the forwarder retry non-idempotent requests that may have been run.
func (f *Forwarder) UnguardResend() { f.retriesNonIdempotent = true }
