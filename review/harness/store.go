package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxWatchWait is the longest wait_ms that the platform takes.
	maxWatchWait = 30 * time.Second
	// pageItems is the number of objects on one page of a list.
	pageItems = 500
)

// metadata is the part of an object that the store keeps itself.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change that a watch reports.
type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

// store is a stand-in for the platform's object store: linearizable, with a revision counter, lists, watches and
// conditional writes. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put creates or replaces an object and returns its revision, from which bounds are measured.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Metadata.Revision
}

// write must be called with s.mu held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o, ok := s.objects[kind][name]
	if !ok {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.publish(event{Object: o, kind: kind, revision: s.revision})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.publish(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

// publish must be called with s.mu held.
func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers the calls of PROTOCOL.md on the listener.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.handleList)
	mux.HandleFunc("POST /objects/{kind}", s.handleCreate)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.handleGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.handlePut)
	_ = http.Serve(listener, mux)
}

func (s *store) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if text := query.Get("watch"); text != "" {
		s.handleWatch(w, r, text)
		return
	}
	s.mu.Lock()
	var items []object
	for name, o := range s.objects[r.PathValue("kind")] {
		if name > query.Get("after") {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	page := items[:min(len(items), pageItems)]
	if page == nil {
		page = []object{}
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(items), "at": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request, revision string) {
	from, _ := strconv.ParseUint(revision, 10, 64)
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := after(min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait))
	for isOver := false; ; {
		events, at, changed := s.since(r.PathValue("kind"), from)
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(kind string, from uint64) ([]event, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []event{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			found = append(found, e)
		}
	}
	return found, s.revision, s.changed
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) handleCreate(w http.ResponseWriter, r *http.Request) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil || sent.Metadata.Name == "" || strings.Contains(sent.Metadata.Name, "/") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[r.PathValue("kind")][sent.Metadata.Name]; ok {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusOK, s.write(r.PathValue("kind"), sent.Metadata.Name, sent.Spec))
}

func (s *store) handlePut(w http.ResponseWriter, r *http.Request) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	default:
		reply(w, http.StatusOK, s.write(r.PathValue("kind"), r.PathValue("name"), sent.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
