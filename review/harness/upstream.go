package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// upstream is a stand-in for a server of a service. It registers itself in the store, checks X-Expect-Instance, runs
// as many requests at a time as it has slots, queues a few more and rejects the others.
type upstream struct {
	world             *world
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	server            *http.Server
	running, waiting  atomic.Int64
	slot              chan struct{}
	leaving           atomic.Bool
	born              int64
	// body is the answer, empty for a short one.
	body string
}

const queueLength = 9

func (w *world) addUpstream(service, zone string, slots int, work time.Duration) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := &upstream{
		world: w, id: fmt.Sprintf("i-%s-%d", service, len(w.upstreams)+1), service: service, zone: zone, slots: slots, work: work,
		address: w.newAddress(portUpstream), slot: make(chan struct{}, slots), born: now().UnixMilli(),
	}
	w.upstreams = append(w.upstreams, u)
	return u
}

// start listens and registers the upstream.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle), IdleTimeout: 10 * time.Second}
	u.world.group.Go(func() { _ = u.server.Serve(listener) })
	u.register("ready")
	return nil
}

// register writes the entry and returns when the store has accepted it. Later writes change only the sequence, which
// makes no event, so they are left out.
func (u *upstream) register(state string) {
	u.world.store.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"cold_remaining": "0ms", "sequence": 1, "born": u.born,
	})
}

// drain reports to the store that the upstream leaves, and says so in all answers from then on. It returns the time of
// the store's ack.
func (u *upstream) drain() time.Time {
	u.leaving.Store(true)
	u.register("draining")
	return now()
}

// exit ends the upstream: its entry is removed and its connections are closed.
func (u *upstream) exit() {
	_ = u.server.Close()
	u.world.store.remove("servers", u.id)
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", u.running.Load(), u.waiting.Load(), u.slots))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("X-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.world.record.arrival(u, id)
	if u.waiting.Add(1) > queueLength {
		u.waiting.Add(-1)
		u.setLeaving(w)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slot <- struct{}{}:
		u.waiting.Add(-1)
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	u.running.Add(1)
	defer func() {
		u.running.Add(-1)
		<-u.slot
	}()
	u.world.record.run(u, id, r, body)
	select {
	case <-after(u.work):
	case <-r.Context().Done():
		return
	}
	u.setLeaving(w)
	w.Header().Set("X-Server-Stamp", u.id+"."+id)
	text := u.body
	if text == "" {
		text = fmt.Sprintf("%s %s by %s\n", r.Method, r.URL.RequestURI(), u.id)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	u.world.record.answered(u, id)
}

// setLeaving adds the header of an upstream that leaves.
func (u *upstream) setLeaving(w http.ResponseWriter) {
	if u.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
}
