package granter

import (
	"slices"
	"time"
)

// checkGiven holds the credits of the present tenure against the free slots.
func (m *model) checkGiven(site int) {
	p, total := m.places[site], 0
	for id, g := range m.grants {
		if m.now.Sub(g.at) > Term+Margin {
			delete(m.grants, id)
		}
		if g.site == site && g.at.After(p.since) && m.now.Before(g.at.Add(Term+Margin)) {
			total += max(g.credits, 0)
		}
	}
	if free := siteSlotsN*(1-headroom) - float64(p.local+p.shifted); float64(total) > free {
		m.fault("slots", "%d credits for %g free slots", total, free)
	}
}

// checkAccepted holds a request that was accepted against the term, the headroom and the cap.
func (m *model) checkAccepted(p *place, g given) {
	if age := m.now.Sub(g.at); age > Term+Margin || g.credits < 0 {
		m.fault("term", "a grant of age %s was used, %d credits left", age, g.credits)
	}
	if float64(p.local+p.shifted) > siteSlotsN*(1-headroom) {
		m.fault("headroom", "%d in progress", p.local+p.shifted)
	}
	limit := 0.0
	for i := len(m.caps) - 1; i >= 0; i-- {
		limit = max(limit, m.caps[i].limit)
		if count := m.acceptedSince(m.caps[i].at); float64(count) > limit {
			m.fault("cap", "%d requests in an interval under a cap of %g", count, limit)
		}
		if m.now.Sub(m.caps[i].at) >= Interval {
			return
		}
	}
}

// acceptedSince counts the requests of the last interval that were accepted since the given time.
func (m *model) acceptedSince(since time.Time) int {
	count := 0
	for _, p := range m.places {
		for _, at := range p.accepted {
			if m.now.Sub(at) < Interval && !at.Before(since) {
				count++
			}
		}
		p.accepted = slices.DeleteFunc(p.accepted, func(at time.Time) bool { return m.now.Sub(at) >= Interval })
	}
	return count
}
