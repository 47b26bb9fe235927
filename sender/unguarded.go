//go:build unguarded

package sender

// UnguardResend allows retries of non-idempotent requests of unknown outcome.
func (s *Sender) UnguardResend() { s.config.ResendUnknown = true }
