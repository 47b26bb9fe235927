package standin

import (
	"net/http"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// BackendFaults are the faults that a test sets on a Backend.
type BackendFaults struct {
	// Truncate is the number of answers still to be closed half-way.
	Truncate int `json:"truncate,omitempty"`
	// Delay holds each answer back after the work is done.
	Delay eelgrassbeam.Duration `json:"delay,omitzero"`
	// Cross is the number of answers still to carry another request's id and body.
	Cross int `json:"cross,omitempty"`
	// Errors is the number of requests still to fail with 500 without a run.
	Errors int `json:"errors,omitempty"`
	// Freeze accepts requests and probes and never answers them.
	Freeze bool `json:"freeze,omitempty"`
	// MisleadFull makes the load report claim that all slots are taken.
	MisleadFull bool `json:"mislead_full,omitempty"`
	// Draining reports leaving and sheds all new work.
	Draining bool `json:"draining,omitempty"`
	// RunThenClose is the number of requests still to run without an answer.
	RunThenClose int `json:"run_then_close,omitempty"`
}

// faultSet holds the faults in force.
type faultSet struct {
	mu     sync.Mutex
	faults BackendFaults
}

func (f *faultSet) current() BackendFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSet) set(faults BackendFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// take uses up one of a counted fault; false if none is left.
func (f *faultSet) take(pick func(*BackendFaults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := pick(&f.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (b *Backend) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.faults.current())
}

func (b *Backend) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	if !readJSON(w, r, maxControlBodyBytes, &faults) {
		return
	}
	b.faults.set(faults)
	w.WriteHeader(http.StatusNoContent)
}
