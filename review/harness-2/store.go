package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// longestWatch is the longest wait of a watch.
	longestWatch = 30 * time.Second
	// historyFor is how long the store keeps its history.
	historyFor = 20 * time.Second
	// pageItems and pageBytes bound a page of a list. A larger object has a page of its own.
	pageItems = 500
	pageBytes = 1 << 20
)

// storedObject is an object as the store returns it.
type storedObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// storedChange is one event of the store's history.
type storedChange struct {
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
	kind    string
	at      uint64
	written time.Time
}

// objectStore is a stand-in for the platform's store.
type objectStore struct {
	mu      sync.Mutex
	at      uint64
	kinds   map[string]map[string]storedObject
	history []storedChange
	// lostUpTo is the revision of the latest change that the history no longer holds.
	lostUpTo uint64
	news     chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{at: 400, kinds: map[string]map[string]storedObject{}, news: make(chan struct{})}
}

// write creates or replaces an object. The change is acknowledged when write returns.
func (s *objectStore) write(kind, name string, spec any) time.Time {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(kind, name, encoded)
	return now()
}

// change must be called with s.mu held.
func (s *objectStore) change(kind, name string, spec json.RawMessage) storedObject {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]storedObject{}
	}
	s.at++
	object, isKnown := s.kinds[kind][name]
	if !isKnown {
		object.Metadata.Name, object.Metadata.Created, object.Metadata.Finalizers = name, s.at, []string{}
		object.Status = json.RawMessage("null")
	}
	object.Metadata.Revision, object.Spec = s.at, spec
	s.kinds[kind][name] = object
	s.tell(storedChange{Object: object, kind: kind, at: s.at})
	return object
}

// erase removes an object.
func (s *objectStore) erase(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, isKnown := s.kinds[kind][name]
	if !isKnown {
		return
	}
	s.at++
	delete(s.kinds[kind], name)
	object.Metadata.Revision = s.at
	s.tell(storedChange{Object: object, Deleted: true, kind: kind, at: s.at})
}

// tell must be called with s.mu held.
func (s *objectStore) tell(change storedChange) {
	change.written = now()
	s.history = append(s.history, change)
	close(s.news)
	s.news = make(chan struct{})
}

func (s *objectStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.list)
	mux.HandleFunc("POST /objects/{kind}", s.create)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.replace)
	return mux
}

// serve answers calls until the listener is closed.
func (s *objectStore) serve(listener net.Listener) { _ = http.Serve(listener, s.handler()) }

func (s *objectStore) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	items := []storedObject{}
	for name, object := range s.kinds[kind] {
		if name > query.Get("after") {
			items = append(items, object)
		}
	}
	at := s.at
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int {
		if a.Metadata.Name < b.Metadata.Name {
			return -1
		}
		return 1
	})
	page := firstPage(items)
	respond(w, http.StatusOK, map[string]any{"items": page, "has_more": len(page) < len(items), "at": at})
}

func firstPage(items []storedObject) []storedObject {
	size := 0
	for i, each := range items {
		size += len(each.Spec)
		if i > 0 && (size > pageBytes || i == pageItems) {
			return items[:i]
		}
	}
	return items
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := after(min(time.Duration(wait)*time.Millisecond, longestWatch))
	for isOver := false; ; {
		s.mu.Lock()
		s.forget()
		isLost := from < s.lostUpTo
		events, at, news := []storedChange{}, s.at, s.news
		for _, each := range s.history {
			if each.kind == kind && each.at > from {
				events = append(events, each)
			}
		}
		s.mu.Unlock()
		if isLost {
			respond(w, http.StatusGone, map[string]any{})
			return
		}
		if isOver || len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-news:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// forget drops the history that is older than historyFor. The caller must hold s.mu.
func (s *objectStore) forget() {
	for len(s.history) > 0 && since(s.history[0].written) > historyFor {
		s.lostUpTo = s.history[0].at
		s.history = s.history[1:]
	}
}

func (s *objectStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	object, isKnown := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !isKnown {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	respond(w, http.StatusOK, object)
}

func (s *objectStore) create(w http.ResponseWriter, r *http.Request) {
	var sent storedObject
	if json.NewDecoder(r.Body).Decode(&sent) != nil || sent.Metadata.Name == "" {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, isKnown := s.kinds[r.PathValue("kind")][sent.Metadata.Name]; isKnown {
		respond(w, http.StatusConflict, object)
		return
	}
	respond(w, http.StatusOK, s.change(r.PathValue("kind"), sent.Metadata.Name, sent.Spec))
}

func (s *objectStore) replace(w http.ResponseWriter, r *http.Request) {
	var sent storedObject
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, isKnown := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !isKnown:
		respond(w, http.StatusNotFound, map[string]any{})
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != object.Metadata.Revision:
		respond(w, http.StatusConflict, object)
	default:
		respond(w, http.StatusOK, s.change(r.PathValue("kind"), r.PathValue("name"), sent.Spec))
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
