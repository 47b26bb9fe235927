package standin

import (
	"maps"
	"sync"
)

// BackendCounts is what a Backend has run and refused.
type BackendCounts struct {
	// Executions counts the runs of each request id.
	Executions map[string]int `json:"executions"`
	// Keys counts the runs of each idempotency key.
	Keys          map[string]int `json:"keys"`
	Total         int            `json:"total"`
	MaxInProgress int            `json:"max_in_progress"`
	Shed          int            `json:"shed"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// NewConnections counts all connections accepted within the limit.
	NewConnections int `json:"new_connections"`
	// RefusedConnections counts connections closed beyond the limit.
	RefusedConnections int `json:"refused_connections"`
	Probes             int `json:"probes"`
}

// ledger counts what a backend runs and refuses.
type ledger struct {
	mu     sync.Mutex
	counts BackendCounts
}

func newLedger() *ledger {
	return &ledger{counts: BackendCounts{Executions: make(map[string]int), Keys: make(map[string]int)}}
}

// run counts one execution.
func (l *ledger) run(id, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Total++
	l.counts.Executions[id]++
	if key != "" {
		l.counts.Keys[key]++
	}
}

// update changes the counts under the lock.
func (l *ledger) update(change func(*BackendCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// copy returns the counts so far.
func (l *ledger) copy() BackendCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.Executions = maps.Clone(counts.Executions)
	counts.Keys = maps.Clone(counts.Keys)
	return counts
}
