package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	blindRounds = 7
	// darkFor is how long the machines that lose power are away.
	darkFor = 3 * time.Second
	// powerLossDelay is the time from the ack to the loss of power.
	powerLossDelay = 4 * time.Millisecond
	// settleFor is the time for the machines that came back to be known again, and for a watch of the third to end.
	settleFor = 10500 * time.Millisecond
	// seatInterval is the time between two requests to the machine that stays.
	seatInterval = 20 * time.Millisecond
)

// playBlind moves a route to another service and lets two of three entries lose power at the ack. CONFIG is broken if the
// third, which is in touch all the while, has a request that was sent later than config after the ack run by the old
// service.
func playBlind(r *record, hasTrouble bool) (bool, error) {
	w, err := newWorld(r, map[string]string{"quito-a": "sierra-norte"})
	if err != nil {
		return false, err
	}
	defer w.close()
	services := []string{"fiestas", "reservas"}
	routes := func(service string) []route {
		return []route{{name: "deposit-hold", prefix: "/hold/", kind: "non_idempotent", service: service, timeout: "1s", target: "400ms", priority: 1}}
	}
	w.putConfig(3, routes(services[0]), services)
	for i := range 8 {
		if err := w.addUpstream(services[i%2], "quito-a", 3, 30*time.Millisecond).start(); err != nil {
			return false, err
		}
	}
	for range 3 {
		w.addEntry("quito-a")
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	sleep(2 * stableWindow)
	stale := 0
	for round := range blindRounds {
		old, current := services[round%2], services[(round+1)%2]
		w.putConfig(5+2*round, routes(current), services)
		acked := now()
		if hasTrouble {
			sleep(powerLossDelay)
			for _, e := range w.entries[:2] {
				r.line("%s loses power", e.name)
				e.signal(syscall.SIGKILL)
			}
		}
		found, last := playHolds(r, w.entries[2], routes(current)[0], old, acked)
		stale += found
		r.say("round %d: %d requests sent later than config after the ack were run by %s, the old service; it ran the last that was sent %s after the ack",
			round+1, found, old, last.Round(time.Millisecond))
		if hasTrouble {
			for _, e := range w.entries[:2] {
				if err := e.start(false); err != nil {
					return false, err
				}
			}
		}
		sleep(settleFor)
	}
	return stale > 0, nil
}

// playHolds sends requests to the entry for darkFor. It returns how many that were sent later than config after the ack
// the old service has run, and the time after the ack at which the last one that it ran was sent.
func playHolds(r *record, e *entry, rt route, old string, acked time.Time) (stale int, last time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := 0; since(acked) < darkFor; i++ {
		group.Go(func() {
			id, after := newID(), since(acked)
			r.line("sent     %s to %s, %s after the ack", id, e.name, after.Round(time.Millisecond))
			a, err := send(e.address(portFront), request{
				method: "POST", path: rt.path(i % 24), host: hostName, id: id, key: fmt.Sprint(i % 24), body: "hold", deadline: 2500 * time.Millisecond,
			})
			r.line("client   %s: status %d, error %v", id, a.status, err)
			if r.serviceOf(id) != old {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			last = max(last, after)
			if after > configBound {
				stale++
				r.line("STALE    %s: sent %s after the ack, run by %s", id, after.Round(time.Millisecond), old)
			}
		})
		sleep(seatInterval)
	}
	group.Wait()
	return stale, last
}
