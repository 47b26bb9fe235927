//go:build unguarded

package monitor

// UnguardTerm lets this entry act after its term has expired.
func (m *Monitor) UnguardTerm() { m.skipTermCheck = true }
