//go:build unguarded

package sender

// RetryNonIdempotent allows retries of non-idempotent requests of unknown outcome.
func (s *Sender) RetryNonIdempotent() { s.config.ResendUnknown = true }
