package deduplicator

import (
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// updateWriteLimits sets each bucket's write limit to the configured rate, or to an equal share of the fleet's limit.
func (d *Deduplicator) updateWriteLimits() {
	perSecond := d.config.WritesPerSecond
	if perSecond <= 0 {
		homes := Buckets * max(1, liveRegions(d.config.Fleet.Fleet()))
		perSecond = min(homeWritesPerSecond, fleetWritesPerSecond/float64(homes))
	}
	now := d.config.Clock.Now()
	for _, c := range d.committers {
		c.limiter.SetLimitAt(now, rate.Limit(perSecond))
		c.limiter.SetBurstAt(now, max(1, int(perSecond)))
	}
}

// liveRegions returns the number of regions with a live entry; each has one home per bucket.
func liveRegions(fleet *eelgrassbeam.Fleet) int {
	regions := make(map[eelgrassbeam.RegionID]bool)
	for _, entry := range fleet.Entries {
		if entry.State == eelgrassbeam.InstanceLive {
			regions[entry.Region] = true
		}
	}
	return len(regions)
}
