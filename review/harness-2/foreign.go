package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	foreignUpstreams = 6
	foreignLeaving   = 2
	// foreignWork is the work of one request.
	foreignWork = 840 * time.Millisecond
	// foreignInterval is the time between two requests to an entry.
	foreignInterval = 100 * time.Millisecond
	// foreignExtra is how long an upstream that leaves goes on serving after drain.
	foreignExtra = 1500 * time.Millisecond
)

// foreignZones are the zones of the entries: three in one zone, as salones-te has with its spare machine.
var foreignZones = []string{"quito-a", "quito-a", "quito-a", "cuenca-a", "cuenca-a", "guayaquil-a", "guayaquil-a"}

// playForeign lets another writer put an entry with an unknown service into the list of upstreams. Later two upstreams
// report that they are draining, and end. DRAIN is broken if a request reaches one of them later than drain after the ack.
func playForeign(r *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	seat := route{
		name: "seat-confirm", prefix: "/seat/", kind: "non_idempotent", service: "reservas",
		timeout: 2500 * time.Millisecond, target: 600 * time.Millisecond, priority: 1,
	}
	d.putConfig(3, seat)
	for range foreignUpstreams {
		if _, err := d.addUpstream("reservas", "quito-a", 6, foreignWork); err != nil {
			return false, err
		}
	}
	for _, zone := range foreignZones {
		d.addEntry(zone)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	sleep(2 * stableWindow)
	if hasTrouble {
		d.store.write("servers", "i-other", map[string]any{
			"service": "(none)", "address": address(d.nextIP(), upstreamPort), "zone": "quito-a", "version": "v1", "slots": 1, "state": "ready",
			"cold_remaining": "0ms", "sequence": 1, "born": now().UnixMilli(),
		})
		r.line("store: another writer has put servers/i-other, whose service is (none)")
	}
	sleep(stableWindow)
	leaving := d.servers[:foreignLeaving]
	acked := map[string]time.Time{}
	for _, u := range leaving {
		acked[u.id] = u.register("draining")
	}
	started := now()
	var clients sync.WaitGroup
	sent := map[string]string{}
	for n := 0; since(started) < drainBound+foreignExtra; n++ {
		for _, e := range d.entries {
			id := newID()
			sent[id] = e.name
			clients.Go(func() { confirmSeat(r, e, seat, id, n) })
		}
		sleep(foreignInterval)
	}
	for _, u := range leaving {
		u.exit()
	}
	clients.Wait()
	late := 0
	for id, entry := range sent {
		for _, each := range d.runsOf(id) {
			if ack, isLeaving := acked[each.upstream]; isLeaving && each.at.Sub(ack) > drainBound {
				late++
				r.line("LATE     %s of %s reached %s %s after the ack", id, entry, each.upstream, each.at.Sub(ack).Round(time.Millisecond))
			}
		}
	}
	r.say("%d requests, %d of them reached an upstream later than drain after it reported draining", len(sent), late)
	return late > 0, nil
}

func confirmSeat(r *record, e *entry, seat route, id string, n int) {
	r.line("sent     %s to %s", id, e.name)
	got, err := sendOnce(address(e.ip, frontPort), attempt{
		method: "POST", path: fmt.Sprint(seat.prefix, n%24), id: id, key: fmt.Sprint(n % 24), body: "two seats", deadline: 4 * time.Second,
	})
	r.line("client   %s: status %d, stamp %s, error %v, %s", id, got.status, got.stamp, err, strings.TrimSpace(got.body))
}
