package main

import "time"

const (
	foreignUpstreams = 8
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
	late, cut := playLeaving(d, seat, leavingPlan{upstreams: d.servers[:foreignLeaving], interval: foreignInterval, extra: foreignExtra})
	r.say("%d requests reached an upstream later than drain after it reported draining; %d of them got no success", late, cut)
	return late > 0, nil
}
