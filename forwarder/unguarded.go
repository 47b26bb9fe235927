//go:build unguarded

package forwarder

// UnguardResend disables the protection of non-idempotent requests: they are retried after an unknown outcome, too.
func (f *Forwarder) UnguardResend() { f.retriesUnknown = true }
