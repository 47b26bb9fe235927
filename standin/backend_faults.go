package standin

import (
	"net/http"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// BackendFaults are the faults that a test injects into a Backend. A number is decremented each time its fault applies.
type BackendFaults struct {
	// Truncate is the number of responses to cut off after half of the body.
	Truncate int `json:"truncate,omitempty"`
	// Delay postpones each response after the request was executed and its slot released.
	Delay eelgrassbeam.Duration `json:"delay,omitzero"`
	// SwapResponses is the number of responses to send with another request's id and body.
	SwapResponses int `json:"cross,omitempty"`
	// Errors is the number of requests to answer with status 500 without executing them.
	Errors int `json:"errors,omitempty"`
	// Freeze accepts requests, probes and load queries and never answers them.
	Freeze bool `json:"freeze,omitempty"`
	// MisleadFull makes the load report show all slots in use.
	MisleadFull bool `json:"mislead_full,omitempty"`
	// Draining sets Leaving in load reports and rejects requests, but not probes.
	Draining bool `json:"draining,omitempty"`
	// RunThenClose is the number of requests to execute and then abort without a response.
	RunThenClose int `json:"run_then_close,omitempty"`
}

// faultSet holds the active faults.
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

// consume decrements a counted fault and reports whether it applies.
func (f *faultSet) consume(pick func(*BackendFaults) *int) bool {
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
