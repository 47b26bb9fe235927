package standin

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"time"
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
	// journal outlives the process; nil for none.
	journal io.Writer
	// leavingFor returns how long the platform has known that the backend leaves.
	leavingFor func() time.Duration

	mu     sync.Mutex
	counts BackendCounts
}

func newLedger(journal io.Writer, leavingFor func() time.Duration) *ledger {
	if leavingFor == nil {
		leavingFor = func() time.Duration { return 0 }
	}
	return &ledger{journal: journal, leavingFor: leavingFor, counts: BackendCounts{Executions: make(map[string]int), Keys: make(map[string]int)}}
}

// run counts one execution; an error says that the journal does not hold it.
func (l *ledger) run(id, key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.journal != nil {
		line := fmt.Sprintf("%s\t%s\n", id, key)
		if leaving := l.leavingFor(); leaving > 0 {
			line = fmt.Sprintf("%s\t%s\t%d\n", id, key, leaving.Milliseconds())
		}
		if _, err := io.WriteString(l.journal, line); err != nil {
			return err
		}
	}
	l.counts.Total++
	l.counts.Executions[id]++
	if key != "" {
		l.counts.Keys[key]++
	}
	return nil
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
