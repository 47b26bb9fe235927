package keeper

import (
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// updateWriteLimits sets each bucket's write limit to the configured rate, or to an equal share of the fleet's limit.
func (k *Keeper) updateWriteLimits() {
	perSecond := k.config.WritesPerSecond
	if perSecond <= 0 {
		homes := Buckets * max(1, liveRegions(k.config.Fleet.Fleet()))
		perSecond = min(homeWritesPerSecond, fleetWritesPerSecond/float64(homes))
	}
	now := k.config.Clock.Now()
	for _, c := range k.committers {
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
