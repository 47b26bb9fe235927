package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	silentRounds    = 8
	silentUpstreams = 20
	// silentLeaving is the number of upstreams that leave in a round.
	silentLeaving = 5
	// seatClients is the number of clients of each entry.
	seatClients = 10
	// An upstream that leaves goes on serving for drain after the store has accepted its report, and a little longer: the
	// first one for minExtra, each further one for extraStep more.
	minExtra  = 600 * time.Millisecond
	extraStep = 400 * time.Millisecond
)

// playSilent silences the open connections to the store in the course of a release, and lets upstreams leave when the
// entries are in touch again. DRAIN is broken if a request reaches one of them later than drain after the ack.
func playSilent(r *record, hasTrouble bool) (bool, error) {
	w, err := newWorld(r, map[string]string{"quito-a": "sierra-norte"})
	if err != nil {
		return false, err
	}
	defer w.close()
	seat := route{name: "seat", prefix: "/seat/", kind: "non_idempotent", service: "reservas", timeout: "2500ms", target: "1500ms", priority: 1}
	w.putConfig(3, []route{seat}, []string{"reservas"})
	var current []*upstream
	add := func() error {
		u := w.addUpstream("reservas", "quito-a", 3, 840*time.Millisecond)
		current = append(current, u)
		return u.start()
	}
	for range silentUpstreams {
		if err := add(); err != nil {
			return false, err
		}
	}
	var proxies []*proxy
	for range 2 {
		e := w.addEntry("quito-a")
		p, err := newProxy(w.newAddress(portStore), w.storeAddress)
		if err != nil {
			return false, err
		}
		e.storeAddress = p.address
		proxies = append(proxies, p)
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range w.entries {
		for range seatClients {
			clients.Go(func() {
				playSeats(r, e, seat, stop)
			})
		}
	}
	sleep(4 * time.Second)
	late, cut := 0, 0
	for round := range silentRounds {
		// A step of the release: a new upstream starts, an old one leaves.
		if err := add(); err != nil {
			return false, err
		}
		r.line("release: %s starts", current[len(current)-1].id)
		sleep(1100 * time.Millisecond)
		if hasTrouble {
			for i, p := range proxies {
				r.line("%d connections of %s to the store go silent", p.silence(), w.entries[i].name)
			}
		}
		sleep(stableWindow + 100*time.Millisecond)
		leaving := current[:silentLeaving]
		current = current[silentLeaving:]
		var acked []time.Time
		for _, u := range leaving {
			acked = append(acked, u.drain())
			r.line("store: %s is draining, acknowledged", u.id)
		}
		for i, u := range leaving {
			sleep(drainBound + minExtra + time.Duration(i)*extraStep - since(acked[i]))
			u.exit()
			r.line("%s has ended", u.id)
		}
		sleep(500 * time.Millisecond)
		for i, u := range leaving {
			l, c := r.lateArrivals(u, acked[i].Add(drainBound))
			late, cut = late+l, cut+c
		}
		r.say("round %d: %d requests late at upstreams that leave, %d of them cut when it ended, so far", round+1, late, cut)
		for range silentLeaving - 1 {
			if err := add(); err != nil {
				return false, err
			}
		}
		sleep(2500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	return late > 0, nil
}

// playSeats sends requests one after the other on a kept connection.
func playSeats(r *record, e *entry, rt route, stop <-chan struct{}) {
	var c *connection
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-after(time.Duration(rand.ExpFloat64() * float64(time.Second) * 0.6)):
		}
		if c == nil {
			var err error
			if c, err = dial(e.address(portFront)); err != nil {
				c = nil
				continue
			}
		}
		id := newID()
		r.line("sent     %s to %s", id, e.name)
		a, err := c.do(request{
			method: "POST", path: rt.path(rand.IntN(24)), host: hostName, id: id, key: fmt.Sprint(rand.IntN(200)), body: "two seats", deadline: 4 * time.Second,
		})
		if err != nil {
			r.line("client   %s: %v", id, err)
		} else {
			r.line("client   %s: status %d, stamp %s", id, a.status, a.stamp)
		}
		if err != nil || a.isLast {
			c.close()
			c = nil
		}
	}
}

// lateArrivals returns the number of requests that reached the upstream later than the given time, and how many of them
// it began and didn't answer.
func (r *record) lateArrivals(u *upstream, bound time.Time) (late, cut int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, arrivals := range r.arrived {
		for _, a := range arrivals {
			if a.upstream != u || !a.at.After(bound) {
				continue
			}
			late++
			r.write("LATE     %s reached %s %s after the bound", id, u.id, a.at.Sub(bound).Round(time.Millisecond))
			if !r.done[id] {
				cut++
			}
		}
	}
	return late, cut
}
