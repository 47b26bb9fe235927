package standin

import (
	"net/http"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// maxControlBodyBytes is the maximum size of a request body on the control endpoints.
const maxControlBodyBytes = 16 << 20

// stateChange is the request body of PUT /control/instances/{id}/state.
type stateChange struct {
	State eelgrassbeam.InstanceState `json:"state"`
}

func (p *Platform) routeControl() {
	p.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.currentFaults())
	})
	p.mux.HandleFunc("PUT /control/faults", p.putFaults)
	p.mux.HandleFunc("POST /control/forget", p.compact)
	p.mux.HandleFunc("POST /control/copy", func(w http.ResponseWriter, _ *http.Request) {
		p.Copy()
		w.WriteHeader(http.StatusNoContent)
	})
	p.mux.HandleFunc("POST /control/restore", func(w http.ResponseWriter, _ *http.Request) {
		p.Restore()
		w.WriteHeader(http.StatusNoContent)
	})
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

// compact drops the change history, so that a watch from an earlier revision fails and its client has to list again.
func (p *Platform) compact(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.objects.compact()
	p.notifyWatches()
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
	writeFound(w, ok)
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
	writeFound(w, ok)
}

// writeFound answers with status 204 if ok, otherwise with 404.
func writeFound(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "instance not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
