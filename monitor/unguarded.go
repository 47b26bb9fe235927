//go:build unguarded

package monitor

// DisableTermCheck lets this entry act after its term has expired.
func (m *Monitor) DisableTermCheck() { m.skipTermCheck = true }
