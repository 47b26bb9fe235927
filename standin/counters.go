package standin

import (
	"fmt"
	"io"
	"maps"
	"sync"
	"time"
)

// BackendCounts counts a Backend's executions, rejections, connections and probes.
type BackendCounts struct {
	// Executions is the number of executions of each request id.
	Executions map[string]int `json:"executions"`
	// Keys is the number of executions of each idempotency key.
	Keys map[string]int `json:"keys"`
	// Total is the number of executions of all requests.
	Total         int `json:"total"`
	MaxInProgress int `json:"max_in_progress"`
	// Shed is the number of requests and probes that were rejected without being executed.
	Shed int `json:"shed"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// NewConnections is the number of connections accepted within the limit.
	NewConnections int `json:"new_connections"`
	// RefusedConnections is the number of connections closed because the limit was exceeded.
	RefusedConnections int `json:"refused_connections"`
	Probes             int `json:"probes"`
}

// counters keeps a backend's counts and its journal.
type counters struct {
	// journal may be a file, so that its lines survive the process; nil for none.
	journal io.Writer
	// drainingFor returns how long the platform has known that the backend is draining.
	drainingFor func() time.Duration

	mu     sync.Mutex
	counts BackendCounts
}

func newCounters(journal io.Writer, drainingFor func() time.Duration) *counters {
	if drainingFor == nil {
		drainingFor = func() time.Duration { return 0 }
	}
	return &counters{journal: journal, drainingFor: drainingFor, counts: BackendCounts{Executions: make(map[string]int), Keys: make(map[string]int)}}
}

// recordExecution writes one execution to the journal and counts it. It returns an error, and counts nothing, if the
// write fails.
func (c *counters) recordExecution(id, key string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.journal != nil {
		line := fmt.Sprintf("%s\t%s\n", id, key)
		if draining := c.drainingFor(); draining > 0 {
			line = fmt.Sprintf("%s\t%s\t%d\n", id, key, draining.Milliseconds())
		}
		if _, err := io.WriteString(c.journal, line); err != nil {
			return err
		}
	}
	c.counts.Total++
	c.counts.Executions[id]++
	if key != "" {
		c.counts.Keys[key]++
	}
	return nil
}

func (c *counters) update(change func(*BackendCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

func (c *counters) copy() BackendCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Executions = maps.Clone(counts.Executions)
	counts.Keys = maps.Clone(counts.Keys)
	return counts
}
