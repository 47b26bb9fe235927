package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	junkUpstreams = 8
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
	late, cut := playLeaving(d, seat, leavingPlan{upstreams: d.servers[:junkLeaving], interval: junkInterval, extra: junkExtra})
	r.say("%d requests reached an upstream later than drain after it reported draining; %d of them got no success", late, cut)
	return late > 0, nil
}
