package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// leavingPlan tells which upstreams leave, how often clients send to each entry, and how long the upstreams go on serving
// after drain.
type leavingPlan struct {
	upstreams       []*upstream
	interval, extra time.Duration
}

// playLeaving lets upstreams report draining, and end, while clients send to all entries. It returns how many
// requests reached one of them later than drain after the ack, and how many of these got no success.
func playLeaving(d *deployment, rt route, plan leavingPlan) (late, cut int) {
	leaving := plan.upstreams
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
