package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// ShareSettleTime is how long a site's share may not rise after a change of the fleet or the configuration. Until
	// all dispatchers of the region see the change, another site may still use its larger, earlier share, and the
	// requests accepted under it count against the cap for one CapInterval more.
	ShareSettleTime = assigner.DefaultTakeoverDelay + CapInterval
	// maxPastSplits bounds the past splits that are kept. Beyond it, an empty split replaces the oldest two. It gives
	// every site a share of 0 until it expires, so that the cap is not exceeded.
	maxPastSplits = 64
)

// siteSlots is a site with the number of its slots.
type siteSlots struct {
	site  eelgrassbeam.Site
	slots int
}

// split divides a region's cap between its sites in proportion to their slots. It depends on the fleet and the
// configuration alone, so that all dispatchers with the same view compute the same split.
type split struct {
	// sites are sorted by service and zone.
	sites []siteSlots
	total int
}

// newSplit counts every listed upstream of the region, drained or not, so that a drain does not raise the share of
// other sites.
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

// slotShare returns the site's share of the region's slots, 0 to 1.
func (s split) slotShare(site eelgrassbeam.Site) float64 {
	i, ok := slices.BinarySearchFunc(s.sites, site, compareSite)
	if !ok {
		return 0
	}
	return float64(s.sites[i].slots) / float64(s.total)
}

// rate returns the site's share of the cap in whole requests. With the D'Hondt method the shares add up to the cap,
// and a higher cap lowers no site's share.
func (s split) rate(site eelgrassbeam.Site, shiftCap int) int {
	at, ok := slices.BinarySearchFunc(s.sites, site, compareSite)
	if !ok || shiftCap <= 0 {
		return 0
	}
	rates, left := make([]int, len(s.sites)), shiftCap
	for i, each := range s.sites {
		rates[i] = shiftCap * each.slots / s.total
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

// pastSplit is a split with the time at which it was replaced.
type pastSplit struct {
	split
	replaced time.Time
}

// shares holds the current split and the past ones that other dispatchers may still use.
type shares struct {
	disabled disabledGuards
	current  split
	past     []pastSplit
}

// update makes next the current split. The first split counts as a change from a region without sites.
func (s *shares) update(next split, now time.Time) {
	s.past = slices.DeleteFunc(s.past, func(p pastSplit) bool { return now.Sub(p.replaced) >= ShareSettleTime })
	if next.equal(s.current) {
		return
	}
	if len(s.past) == maxPastSplits {
		s.past = slices.Delete(s.past, 0, 1)
		s.past[0] = pastSplit{replaced: now}
	}
	s.past = append(s.past, pastSplit{split: s.current, replaced: now})
	s.current = next
}

// rate returns the site's lowest share of the cap in the current split and those still settling.
func (s *shares) rate(site eelgrassbeam.Site, shiftCap int) int {
	least := s.current.rate(site, shiftCap)
	for _, p := range s.settling() {
		least = min(least, p.rate(site, shiftCap))
	}
	return least
}

// slotShare returns the site's lowest share of the region's slots in the current split and those still settling.
func (s *shares) slotShare(site eelgrassbeam.Site) float64 {
	least := s.current.slotShare(site)
	for _, p := range s.settling() {
		least = min(least, p.slotShare(site))
	}
	return least
}

func (s *shares) settling() []pastSplit {
	if s.disabled.settle {
		return nil
	}
	return s.past
}
