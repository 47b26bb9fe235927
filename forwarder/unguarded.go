//go:build unguarded

package forwarder

// RetryNonIdempotent makes the forwarder retry non-idempotent requests that may have been run.
func (f *Forwarder) RetryNonIdempotent() { f.retriesNonIdempotent = true }
