package standin

import (
	"net/http"
	"sync"
	"time"
)

// LoadReport is what a Backend reports of its load.
type LoadReport struct {
	Slots       int  `json:"slots"`
	InProgress  int  `json:"in_progress"`
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving"`
}

// reporter keeps the load report for as long as it may lag.
type reporter struct {
	mu     sync.Mutex
	report LoadReport
	taken  time.Time
}

// get returns the kept report, or a fresh one if it is older than lag.
func (r *reporter) get(now time.Time, lag time.Duration, fresh func() LoadReport) LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken.IsZero() || now.Sub(r.taken) >= lag {
		r.report, r.taken = fresh(), now
	}
	return r.report
}

// Load returns the load report, which may lag or mislead.
func (b *Backend) Load() LoadReport {
	report := b.report.get(b.clock.Now(), b.config.Lag, b.freshLoad)
	if b.faults.current().MisleadFull {
		report.InProgress = report.Slots
	}
	return report
}

func (b *Backend) freshLoad() LoadReport {
	inProgress, _ := b.slots.progress()
	return LoadReport{
		Slots:       b.config.Slots,
		InProgress:  inProgress,
		Connections: b.ledger.copy().Connections,
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
	b.ledger.update(func(c *BackendCounts) { c.Probes++ })
	if b.faults.current().Freeze {
		b.freeze(r)
	}
	if err := b.slots.acquire(r.Context(), noDeadline); err != nil {
		b.shed(w, http.StatusServiceUnavailable, err)
		return
	}
	defer b.slots.release()
	b.work(r.Context(), b.config.ProbeCost)
	w.WriteHeader(http.StatusOK)
}
