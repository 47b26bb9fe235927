//go:build unguarded

package sender

// UnguardResend sends non-idempotent requests of unknown outcome again.
func (s *Sender) UnguardResend() { s.config.ResendUnknown = true }
