package standin

import (
	"net/http"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// maxControlBodyBytes bounds a body of the control of tests.
const maxControlBodyBytes = 16 << 20

// stateChange is the body that changes an instance's state.
type stateChange struct {
	State eelgrassbeam.InstanceState `json:"state"`
}

func (p *Platform) routeControl() {
	p.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.currentFaults())
	})
	p.mux.HandleFunc("PUT /control/faults", p.putFaults)
	p.mux.HandleFunc("POST /control/forget", p.forget)
	p.mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	p.mux.HandleFunc("PUT /control/instances", p.putInstances)
	p.mux.HandleFunc("POST /control/instances", p.postInstance)
	p.mux.HandleFunc("DELETE /control/instances/{id}", p.deleteInstance)
	p.mux.HandleFunc("PUT /control/instances/{id}/state", p.putState)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, maxControlBodyBytes, &faults) {
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// forget drops the history, so that watches from before it have to list.
func (p *Platform) forget(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.objects.forget()
	p.wake()
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var list eelgrassbeam.InstanceList
	if !readJSON(w, r, maxControlBodyBytes, &list) {
		return
	}
	p.mu.Lock()
	p.instances.replace(list.Instances, p.clock.Now().Add(p.faults.ListLag.Duration))
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var row eelgrassbeam.Instance
	if !readJSON(w, r, maxControlBodyBytes, &row) {
		return
	}
	p.PutInstance(row)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	ok := p.instances.remove(r.PathValue("id"), p.clock.Now().Add(p.faults.ListLag.Duration))
	p.mu.Unlock()
	answerFound(w, ok)
}

func (p *Platform) putState(w http.ResponseWriter, r *http.Request) {
	var change stateChange
	if !readJSON(w, r, maxControlBodyBytes, &change) {
		return
	}
	if change.State == "" {
		http.Error(w, "state: want live or leaving", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	ok := p.instances.setState(r.PathValue("id"), change.State, p.clock.Now().Add(p.faults.ListLag.Duration))
	p.mu.Unlock()
	answerFound(w, ok)
}

func answerFound(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
