package granter

import (
	"slices"
	"time"
)

// checkOutstanding checks that the outstanding credits of the current tenure do not exceed the free slots.
func (m *model) checkOutstanding(site int) {
	p, total := m.sites[site], 0
	for id, g := range m.grants {
		if m.now.Sub(g.at) > GrantTerm+GrantMargin {
			delete(m.grants, id)
		}
		if g.site == site && g.at.After(p.since) && m.now.Before(g.at.Add(GrantTerm+GrantMargin)) {
			total += max(g.credits, 0)
		}
	}
	if free := slotsPerSite*(1-headroom) - float64(p.local+p.shifted); float64(total) > free {
		m.violate("slots", "%d credits outstanding for %g free slots", total, free)
	}
}

// checkAccepted checks an accepted request against the grant's term, the headroom and the shift cap. The cap of an
// interval is the largest one in force during it.
func (m *model) checkAccepted(p *modelSite, g modelGrant) {
	if age := m.now.Sub(g.at); age > GrantTerm+GrantMargin || g.credits < 0 {
		m.violate("term", "a grant was used at age %s, with %d credits left", age, g.credits)
	}
	if float64(p.local+p.shifted) > slotsPerSite*(1-headroom) {
		m.violate("headroom", "%d requests in progress leave less than the headroom", p.local+p.shifted)
	}
	limit := 0.0
	for i := len(m.caps) - 1; i >= 0; i-- {
		limit = max(limit, m.caps[i].limit)
		if count := m.acceptedSince(m.caps[i].since); float64(count) > limit {
			m.violate("cap", "%d requests accepted in an interval with a cap of %g", count, limit)
		}
		if m.now.Sub(m.caps[i].since) >= CapInterval {
			return
		}
	}
}

// acceptedSince counts the requests accepted within the last interval and not before the given time.
func (m *model) acceptedSince(since time.Time) int {
	count := 0
	for _, p := range m.sites {
		for _, at := range p.accepted {
			if m.now.Sub(at) < CapInterval && !at.Before(since) {
				count++
			}
		}
		p.accepted = slices.DeleteFunc(p.accepted, func(at time.Time) bool { return m.now.Sub(at) >= CapInterval })
	}
	return count
}
