package main

import "time"

const (
	forgottenRounds    = 6
	forgottenUpstreams = 12
	// forgottenLeaving is the number of upstreams that leave in a round.
	forgottenLeaving  = 3
	forgottenWork     = 840 * time.Millisecond
	forgottenInterval = 40 * time.Millisecond
	// forgottenExtra is how long an upstream that leaves goes on serving after drain.
	forgottenExtra = 1500 * time.Millisecond
	// forgottenRest is the time between two rounds, in which the entries hear of the store again.
	forgottenRest = 4 * time.Second
	// forgottenStep is the time between the start of an upstream and the moment at which connections go silent.
	forgottenStep = 1100 * time.Millisecond
)

// forgottenZones are the zones of the entries.
var forgottenZones = []string{"quito-a", "cuenca-a"}

// playForgotten lets the connections to the store go silent on which watches wait; the others, and new ones, work. When the
// entries are in touch again, upstreams leave. DRAIN is broken if a request reaches one of them later than drain after the ack.
func playForgotten(r *record, hasTrouble bool) (bool, error) {
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
	add := func(count int) error {
		for range count {
			if _, err := d.addUpstream("reservas", "quito-a", 6, forgottenWork); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add(forgottenUpstreams); err != nil {
		return false, err
	}
	var proxies []*storeProxy
	for _, zone := range forgottenZones {
		p, err := d.newStoreProxy(d.addEntry(zone))
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	sleep(stableWindow)
	late, cut := 0, 0
	for round := range forgottenRounds {
		if err := add(1); err != nil {
			return false, err
		}
		sleep(forgottenStep)
		if hasTrouble {
			for i, p := range proxies {
				silent, others := p.silence()
				r.line("%d connections of %s to the store go silent, %d go on", silent, d.entries[i].name, others)
			}
		}
		sleep(stableWindow + 100*time.Millisecond)
		first := round * forgottenLeaving
		l, c := playLeaving(d, seat, leavingPlan{
			upstreams: d.servers[first : first+forgottenLeaving], interval: forgottenInterval, extra: forgottenExtra,
		})
		late, cut = late+l, cut+c
		r.say("round %d: %d requests reached an upstream later than drain after it reported draining, %d of them got no success, so far",
			round+1, late, cut)
		if err := add(forgottenLeaving - 1); err != nil {
			return false, err
		}
		sleep(forgottenRest)
	}
	return late > 0, nil
}
