package main

import (
	"strings"
	"time"
)

// playPaths sends requests whose path holds both an escaped slash and |, which browsers don't escape. UNASKED is broken if an
// upstream runs one with another path.
func playPaths(r *record, hasTrouble bool) (bool, error) {
	w, err := newWorld(r, map[string]string{"quito-a": "sierra-norte"})
	if err != nil {
		return false, err
	}
	defer w.close()
	routes := []route{
		{name: "table-lookup", prefix: "/lookup/", kind: "idempotent", service: "reservas", timeout: "1200ms", target: "400ms", priority: 0},
		{name: "seat-confirm", prefix: "/seat/", kind: "non_idempotent", service: "reservas", timeout: "1200ms", target: "600ms", priority: 1},
	}
	w.putConfig(3, routes, []string{"reservas"})
	for range 2 {
		if err := w.addUpstream("reservas", "quito-a", 3, 20*time.Millisecond).start(); err != nil {
			return false, err
		}
	}
	for range 2 {
		w.addEntry("quito-a")
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	changed := 0
	for i, path := range []string{
		"/lookup/tea%2Fgreen|4", "/lookup/table%2F4|5", "/lookup/..%2Fseat%2F4|", "/lookup/caf%C3%A9%2F1|2", "/seat/hall%2F2|window",
	} {
		if !hasTrouble { // the same name, escaped throughout
			path = strings.ReplaceAll(path, "|", "%7C")
		}
		method := "GET"
		if strings.HasPrefix(path, "/seat/") {
			method = "POST"
		}
		id := newID()
		r.line("sent     %s: %s %s", id, method, path)
		a, err := send(w.entries[i%2].address(portFront), request{method: method, path: path, host: hostName, id: id, deadline: 3 * time.Second})
		if err != nil {
			return false, err
		}
		r.line("client   %s: status %d", id, a.status)
		if got := r.targetOf(id); got != "" && got != path {
			changed++
			r.say("%s: sent %s %s, run as %s", id, method, path, got)
		}
	}
	r.say("%d requests run with another path", changed)
	return changed > 0, nil
}
