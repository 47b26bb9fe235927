package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// Settle is how long a site's share does not rise after a change of the view: the time in which the dispatchers of
	// a region come to see the change, and the interval in which a smaller share may have been used before it fell.
	Settle = assigner.DefaultSettle + Interval
	// maxViews bounds the views that are remembered.
	maxViews = 64
)

// siteSlots is a site with its part of a region's slots.
type siteSlots struct {
	site  eelgrassbeam.Site
	slots int
}

// split divides a region's cap between its sites; it depends on the fleet and the configuration alone.
type split struct {
	// sites are sorted by service and zone.
	sites []siteSlots
	total int
}

// newSplit counts each listed upstream of the region, drained or not, so that a drain raises no other site's share.
func newSplit(fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, region eelgrassbeam.RegionID) split {
	var s split
	for _, u := range fleet.Upstreams {
		service, ok := configuration.Defaults.Service(u.Service)
		if u.Region != region || !ok {
			continue
		}
		site := eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}
		i, found := slices.BinarySearchFunc(s.sites, site, compareSite)
		if !found {
			s.sites = slices.Insert(s.sites, i, siteSlots{site: site})
		}
		s.sites[i].slots += service.SlotsPerUpstream
		s.total += service.SlotsPerUpstream
	}
	return s
}

func compareSite(s siteSlots, site eelgrassbeam.Site) int {
	return cmp.Or(cmp.Compare(s.site.Service, site.Service), cmp.Compare(s.site.Zone, site.Zone))
}

func (s split) equal(other split) bool { return slices.Equal(s.sites, other.sites) }

// part returns the site's part of the region's slots, 0 to 1.
func (s split) part(site eelgrassbeam.Site) float64 {
	i, ok := slices.BinarySearchFunc(s.sites, site, compareSite)
	if !ok {
		return 0
	}
	return float64(s.sites[i].slots) / float64(s.total)
}

// rate returns the site's part of the cap in whole requests. D'Hondt's method gives away the whole cap, and a
// greater cap lowers no site's part.
func (s split) rate(site eelgrassbeam.Site, limit int) int {
	at, ok := slices.BinarySearchFunc(s.sites, site, compareSite)
	if !ok || limit <= 0 {
		return 0
	}
	rates, left := make([]int, len(s.sites)), limit
	for i, each := range s.sites {
		rates[i] = limit * each.slots / s.total
		left -= rates[i]
	}
	for ; left > 0; left-- {
		best := 0
		for i, each := range s.sites {
			if each.slots*(rates[best]+1) > s.sites[best].slots*(rates[i]+1) {
				best = i
			}
		}
		rates[best]++
	}
	return rates[at]
}

// pastSplit is a split that was in force until it was replaced.
type pastSplit struct {
	split
	replaced time.Time
}

// shares holds the split in force and those that others may still hold.
type shares struct {
	guards  guards
	current split
	past    []pastSplit
}

// observe takes the split of the present view. The first one counts as a change from a region without sites.
func (s *shares) observe(next split, now time.Time) {
	s.past = slices.DeleteFunc(s.past, func(p pastSplit) bool { return now.Sub(p.replaced) >= Settle })
	if next.equal(s.current) {
		return
	}
	if len(s.past) == maxViews {
		s.past = slices.Delete(s.past, 0, 1)
		s.past[0] = pastSplit{replaced: now}
	}
	s.past = append(s.past, pastSplit{split: s.current, replaced: now})
	s.current = next
}

// rate returns the least part of the cap that the site has in any of the splits.
func (s *shares) rate(site eelgrassbeam.Site, limit int) int {
	least := s.current.rate(site, limit)
	for _, p := range s.settling() {
		least = min(least, p.rate(site, limit))
	}
	return least
}

// part returns the least part of the region's slots that the site has in any of the splits.
func (s *shares) part(site eelgrassbeam.Site) float64 {
	least := s.current.part(site)
	for _, p := range s.settling() {
		least = min(least, p.part(site))
	}
	return least
}

func (s *shares) settling() []pastSplit {
	if s.guards.noSettle {
		return nil
	}
	return s.past
}
