package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

// maxRemotes is the maximum number of sites in other regions to which an entry shifts requests of one service.
const maxRemotes = 8

// site is a site that may get requests.
type site struct {
	eelgrassbeam.LocatedSite
	// slots is the number of slots of its live upstreams that are not drained.
	slots  int
	weight float64
	load   *loadEstimate
}

// routes holds the sites of one service, grouped by their distance from this entry.
type routes struct {
	// own is the site in this entry's zone; nil if there is none.
	own *site
	// others are the sites in the other zones of the region, remotes those in other regions.
	others, remotes group
}

// group is a set of sites with the sum of their weights.
type group struct {
	sites  []*site
	weight float64
}

func (g *group) add(s *site) {
	g.sites = append(g.sites, s)
	g.weight += s.weight
}

// draw returns the site at point, 0 to 1, of the cumulative weights.
func (g *group) draw(point float64) *site {
	left := point * g.weight
	for _, s := range g.sites {
		if left -= s.weight; left < 0 {
			return s
		}
	}
	return g.sites[len(g.sites)-1]
}

// table holds the routes of all services for one fleet and configuration.
type table struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
	// until is when the first exception expires; zero if none does.
	until    time.Time
	services map[eelgrassbeam.ServiceName]*routes
}

func (t *table) isCurrent(fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, now time.Time) bool {
	return t != nil && t.fleet == fleet && t.configuration == configuration && (t.until.IsZero() || now.Before(t.until))
}

// buildTable returns the table of usable sites; loadOf returns the load record of a site.
func buildTable(
	self eelgrassbeam.Entry, fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, now time.Time,
	loadOf func(eelgrassbeam.Site) *loadEstimate,
) *table {
	t := &table{
		fleet: fleet, configuration: configuration, until: firstExpiry(configuration, now),
		services: make(map[eelgrassbeam.ServiceName]*routes),
	}
	slots := usableSlots(fleet, configuration, now)
	for _, service := range configuration.Defaults.Services {
		r := &routes{}
		for _, located := range fleet.ServiceSites(service.Name) {
			weight := weightOf(configuration, located, now)
			if slots[located.Site] == 0 || weight == 0 || configuration.IsSiteDrained(located, now) {
				continue
			}
			r.add(self, &site{LocatedSite: located, slots: slots[located.Site], weight: weight, load: loadOf(located.Site)})
		}
		r.limitRemotes(self)
		t.services[service.Name] = r
	}
	return t
}

func (r *routes) add(self eelgrassbeam.Entry, s *site) {
	switch {
	case s.Region != self.Region:
		r.remotes.add(s)
	case s.Zone == self.Zone:
		r.own = s
	default:
		r.others.add(s)
	}
}

// limitRemotes keeps the maxRemotes remote sites with the highest rendezvous scores for this entry, so that entries
// spread their requests over all sites.
func (r *routes) limitRemotes(self eelgrassbeam.Entry) {
	if len(r.remotes.sites) <= maxRemotes {
		return
	}
	score := func(s *site) uint64 { return assigner.RendezvousScore(s.String(), self.ID) }
	all := r.remotes.sites
	slices.SortFunc(all, func(a, b *site) int { return cmp.Compare(score(b), score(a)) })
	r.remotes = group{}
	for _, s := range all[:maxRemotes] {
		r.remotes.add(s)
	}
}

// usableSlots returns the number of slots of each site's live upstreams that are not drained.
func usableSlots(fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, now time.Time) map[eelgrassbeam.Site]int {
	slots := make(map[eelgrassbeam.Site]int)
	for _, u := range fleet.Upstreams {
		service, ok := configuration.Defaults.Service(u.Service)
		if !ok || u.State != eelgrassbeam.InstanceLive || configuration.IsUpstreamDrained(u, now) {
			continue
		}
		slots[eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}] += service.SlotsPerUpstream
	}
	return slots
}

// weightOf returns the product of the weights of the site's zone and region; an unset weight is 1.
func weightOf(configuration *eelgrassbeam.Configuration, located eelgrassbeam.LocatedSite, now time.Time) float64 {
	weight := 1.0
	if e, ok := configuration.Exception(eelgrassbeam.SettingWeight, eelgrassbeam.TargetZone, string(located.Zone), now); ok {
		weight *= e.Number()
	}
	if e, ok := configuration.Exception(eelgrassbeam.SettingWeight, eelgrassbeam.TargetRegion, string(located.Region), now); ok {
		weight *= e.Number()
	}
	return weight
}

func firstExpiry(configuration *eelgrassbeam.Configuration, now time.Time) time.Time {
	var first time.Time
	for _, e := range configuration.Exceptions {
		if !e.ExpiresAt.IsZero() && e.IsActive(now) && (first.IsZero() || e.ExpiresAt.Before(first)) {
			first = e.ExpiresAt
		}
	}
	return first
}
