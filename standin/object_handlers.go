package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// headerEra is the header of all responses that holds the era, a number that rises by one at each restoration.
	headerEra = "Store-Era"
	// maxValueBytes is the maximum size of an object's value.
	maxValueBytes = 1 << 20
	// maxObjectBodyBytes is the maximum size of a request body: a value plus 64 KiB for its metadata.
	maxObjectBodyBytes = maxValueBytes + 64<<10
)

// countSelector returns the counter of one kind of call.
type countSelector func(*PlatformCounts) *int

func (p *Platform) routeObjects() {
	p.route("GET /objects/{kind}/{name...}", p.get, func(c *PlatformCounts) *int { return &c.Get })
	p.routeCollection()
	p.route("POST /objects/{kind}", p.create, func(c *PlatformCounts) *int { return &c.Create })
	p.route("PUT /objects/{kind}/{name...}", p.update, func(c *PlatformCounts) *int { return &c.Update })
	p.route("DELETE /objects/{kind}/{name...}", p.delete, func(c *PlatformCounts) *int { return &c.Delete })
	p.route("GET /instances", p.listInstances, func(c *PlatformCounts) *int { return &c.Instances })
}

// routeCollection serves lists and watches, which share a path but have separate counters.
func (p *Platform) routeCollection() {
	lists := http.NewServeMux()
	p.handleOn(lists, "GET /objects/{kind}", p.list, func(c *PlatformCounts) *int { return &c.List })
	watches := http.NewServeMux()
	p.handleOn(watches, "GET /objects/{kind}", p.watch, func(c *PlatformCounts) *int { return &c.Watch })
	p.mux.HandleFunc("GET /objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			watches.ServeHTTP(w, r)
			return
		}
		lists.ServeHTTP(w, r)
	})
}

// route registers the handler on the platform's mux, like handleOn.
func (p *Platform) route(pattern string, handle http.HandlerFunc, count countSelector) {
	p.handleOn(p.mux, pattern, handle, count)
}

// handleOn registers the handler on the mux, with a counter and the faults Slow and Down.
func (p *Platform) handleOn(mux *http.ServeMux, pattern string, handle http.HandlerFunc, count countSelector) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.count(count)
		delivered := p.delay(r)
		p.setEra(w)
		if !delivered || p.currentFaults().Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	})
}

func (p *Platform) count(count countSelector) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count(&p.counts)++
	p.counts.Total++
}

// delay waits for the time that the Slow fault sets. It returns false if the client disconnected or the platform closed
// meanwhile.
func (p *Platform) delay(r *http.Request) bool {
	slow := p.currentFaults().Slow.Duration
	if slow <= 0 {
		return true
	}
	select {
	case <-p.clock.After(slow):
		return true
	case <-r.Context().Done():
		return false
	case <-p.stop:
		return false
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	object, err := p.objects.get(keyOf(r))
	p.setEraLocked(w)
	p.mu.Unlock()
	writeObject(w, http.StatusOK, object, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.sweep()
	list := p.objects.list(r.PathValue("kind"))
	p.setEraLocked(w)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, toPage(list, r.URL.Query().Get("after")))
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	body, ok := readObject(w, r)
	if !ok {
		return
	}
	object, err := p.write(w, func() (eelgrassbeam.Object, error) {
		return p.objects.create(objectKey{kind: r.PathValue("kind"), name: body.Metadata.Name}, body.Spec)
	})
	writeObject(w, http.StatusCreated, object, err)
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) {
	body, ok := readObject(w, r)
	if !ok {
		return
	}
	object, err := p.write(w, func() (eelgrassbeam.Object, error) {
		return p.objects.update(keyOf(r), eelgrassbeam.Revision(body.Metadata.Revision), body.Spec)
	})
	writeObject(w, http.StatusOK, object, err)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: want an unsigned integer", http.StatusBadRequest)
		return
	}
	object, err := p.write(w, func() (eelgrassbeam.Object, error) {
		return p.objects.delete(keyOf(r), eelgrassbeam.Revision(version))
	})
	if err == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeObject(w, http.StatusOK, object, err)
}

// setEra sets the header headerEra. The handlers set it again with what they read, since the store may have been
// restored meanwhile.
func (p *Platform) setEra(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setEraLocked(w)
}

// setEraLocked is setEra for callers that hold mu.
func (p *Platform) setEraLocked(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(p.objects.era, 10))
}

// write applies one change under the lock. Under the DropWriteResponses fault it aborts the connection after the
// change.
func (p *Platform) write(w http.ResponseWriter, change func() (eelgrassbeam.Object, error)) (eelgrassbeam.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, err := change()
	p.setEraLocked(w)
	if err == nil {
		p.recordWrite(object)
		p.notifyWatches()
	}
	if p.faults.DropWriteResponses > 0 {
		p.faults.DropWriteResponses--
		panic(http.ErrAbortHandler)
	}
	return object, err
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.instances.visible(p.clock.Now())
	p.setEraLocked(w)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func keyOf(r *http.Request) objectKey {
	return objectKey{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

func readObject(w http.ResponseWriter, r *http.Request) (Object, bool) {
	var object Object
	if !readJSON(w, r, maxObjectBodyBytes, &object) {
		return object, false
	}
	if r.PathValue("name") == "" && object.Metadata.Name == "" {
		http.Error(w, "object has no name", http.StatusBadRequest)
		return object, false
	}
	if len(object.Spec) > maxValueBytes {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return object, false
	}
	return object, true
}

func writeObject(w http.ResponseWriter, status int, object eelgrassbeam.Object, err error) {
	switch {
	case errors.Is(err, errNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errConflict):
		writeJSON(w, http.StatusConflict, toWire(object))
	default:
		writeJSON(w, status, toWire(object))
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, limit int64, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(target)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	default:
		return true
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored because the client notices the truncated response.
	_ = json.NewEncoder(w).Encode(value)
}
