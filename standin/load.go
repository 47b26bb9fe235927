package standin

import (
	"net/http"
	"sync"
	"time"
)

// LoadReport is the load that a Backend reports.
type LoadReport struct {
	Slots       int  `json:"slots"`
	InProgress  int  `json:"in_progress"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}

// reportCache serves a load report again until its age reaches the configured lag.
type reportCache struct {
	mu      sync.Mutex
	report  LoadReport
	takenAt time.Time
}

// get returns the cached report, or a new one if the cached one is at least as old as lag.
func (r *reportCache) get(now time.Time, lag time.Duration, measure func() LoadReport) LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.takenAt.IsZero() || now.Sub(r.takenAt) >= lag {
		r.report, r.takenAt = measure(), now
	}
	return r.report
}

// Load returns the load report, which may be up to Lag old and shows all slots in use under the MisleadFull fault.
func (b *Backend) Load() LoadReport {
	report := b.loadCache.get(b.clock.Now(), b.config.Lag, b.currentLoad)
	if b.faults.current().MisleadFull {
		report.InProgress = report.Slots
	}
	return report
}

func (b *Backend) currentLoad() LoadReport {
	inProgress, _ := b.slots.usage()
	return LoadReport{
		Slots:       b.config.Slots,
		InProgress:  inProgress,
		Connections: b.counters.copy().Connections,
		Leaving:     b.faults.current().Draining,
	}
}

func (b *Backend) serveLoad(w http.ResponseWriter, r *http.Request) {
	if b.faults.current().Freeze {
		b.freeze(r)
	}
	writeJSON(w, http.StatusOK, b.Load())
}

func (b *Backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	b.counters.update(func(c *BackendCounts) { c.Probes++ })
	if b.faults.current().Freeze {
		b.freeze(r)
	}
	if err := b.slots.acquire(r.Context(), noDeadline); err != nil {
		b.shed(w, http.StatusServiceUnavailable, err)
		return
	}
	defer b.slots.release()
	b.simulateWork(r.Context(), b.config.ProbeCost)
	w.WriteHeader(http.StatusOK)
}
