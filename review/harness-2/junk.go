package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	junkUpstreams = 6
	junkLeaving   = 2
	// junkObjects is the number of objects that another writer puts among the upstreams, junkBytes the size of each, which
	// is below value_bytes.
	junkObjects = 12
	junkBytes   = 1_000_000
	junkWork    = 840 * time.Millisecond
	// junkInterval is the time between two requests to an entry.
	junkInterval = 100 * time.Millisecond
	// junkExtra is how long an upstream that leaves goes on serving after drain.
	junkExtra = 1500 * time.Millisecond
)

// junkZones are the zones of the entries, two in each.
var junkZones = []string{"quito-a", "quito-a", "cuenca-a", "cuenca-a"}

// playJunk lets another writer put large entries that can't be read into the list of upstreams. Later two upstreams report that
// they are draining, and end. DRAIN is broken if a request reaches one of them later than drain after the ack.
func playJunk(r *record, hasTrouble bool) (bool, error) {
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
	for range junkUpstreams {
		if _, err := d.addUpstream("reservas", "quito-a", 6, junkWork); err != nil {
			return false, err
		}
	}
	for _, zone := range junkZones {
		d.addEntry(zone)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	sleep(2 * stableWindow)
	if hasTrouble {
		for i := range junkObjects {
			d.store.write("servers", fmt.Sprintf("other-%d", i), strings.Repeat("~", junkBytes))
		}
		r.line("store: another writer has put %d entries of %d bytes among the upstreams", junkObjects, junkBytes)
	}
	sleep(stableWindow)
	late, cut := playLeaving(d, seat, leavingPlan{count: junkLeaving, interval: junkInterval, extra: junkExtra})
	r.say("%d requests reached an upstream later than drain after it reported draining; %d of them got no success", late, cut)
	return late > 0, nil
}

// leavingPlan tells how many upstreams leave, how often clients send to each entry, and how long the upstreams go on serving
// after drain.
type leavingPlan struct {
	count           int
	interval, extra time.Duration
}

// playLeaving lets the first upstreams report draining, and end, while clients send to all entries. It returns how many
// requests reached one of them later than drain after the ack, and how many of these got no success.
func playLeaving(d *deployment, rt route, plan leavingPlan) (late, cut int) {
	leaving := d.servers[:plan.count]
	acked := make(map[string]time.Time)
	for _, u := range leaving {
		acked[u.id] = u.register("draining")
	}
	started := now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	entries, failed := make(map[string]string), make(map[string]bool)
	for n := 0; since(started) < drainBound+plan.extra; n++ {
		for _, e := range d.entries {
			id := newID()
			entries[id] = e.name
			clients.Go(func() {
				if !confirmSeat(d.record, e, rt, id, n) {
					mu.Lock()
					failed[id] = true
					mu.Unlock()
				}
			})
		}
		sleep(plan.interval)
	}
	for _, u := range leaving {
		u.exit()
	}
	clients.Wait()
	for id, entry := range entries {
		for _, each := range d.runsOf(id) {
			ack, isLeaving := acked[each.upstream]
			if !isLeaving || each.at.Sub(ack) <= drainBound {
				continue
			}
			late++
			if failed[id] {
				cut++
			}
			d.record.line("LATE     %s of %s reached %s %s after the ack, got no success: %t",
				id, entry, each.upstream, each.at.Sub(ack).Round(time.Millisecond), failed[id])
		}
	}
	return late, cut
}

// confirmSeat sends one request and reports whether it got a success.
func confirmSeat(r *record, e *entry, seat route, id string, n int) bool {
	r.line("sent     %s to %s", id, e.name)
	got, err := sendOnce(address(e.ip, frontPort), attempt{
		method: "POST", path: fmt.Sprint(seat.prefix, n%24), id: id, key: fmt.Sprint(n % 24), body: "two seats", deadline: 4 * time.Second,
	})
	r.line("client   %s: status %d, stamp %s, error %v, %s", id, got.status, got.stamp, err, strings.TrimSpace(got.body))
	return err == nil && got.status == 200
}
