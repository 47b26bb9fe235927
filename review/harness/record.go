package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order in which it was seen.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string][]runBy     // runs of a request, by its ID
	done    map[string]bool        // requests whose answer an upstream has sent
	arrived map[string][]arrivalAt // arrivals of a request
}

type arrivalAt struct {
	upstream *upstream
	at       time.Time
}

type runBy struct {
	service, target string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: now(), runs: make(map[string][]runBy), done: make(map[string]bool), arrived: make(map[string][]arrivalAt)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, arguments...)
}

// write must be called with r.mu held.
func (r *record) write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{since(r.started).Seconds()}, arguments...)...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) arrival(u *upstream, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived[id] = append(r.arrived[id], arrivalAt{upstream: u, at: now()})
	r.write("arrived  %s at %s", id, u.id)
}

func (r *record) run(u *upstream, id string, request *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], runBy{service: u.service, target: request.RequestURI})
	r.write("run      %s by %s: %s %s, %d bytes", id, u.id, request.Method, request.RequestURI, len(body))
}

func (r *record) answered(u *upstream, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[id] = true
	r.write("answer   %s by %s", id, u.id)
}

// hasRun reports whether an upstream has run the request.
func (r *record) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[id]) > 0
}

// serviceOf returns the service that ran the request, empty if none did.
func (r *record) serviceOf(id string) string { return r.lastRun(id).service }

// targetOf returns the target with which the request was run, empty if it wasn't.
func (r *record) targetOf(id string) string { return r.lastRun(id).target }

func (r *record) lastRun(id string) runBy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runs := r.runs[id]; len(runs) > 0 {
		return runs[len(runs)-1]
	}
	return runBy{}
}
