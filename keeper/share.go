package keeper

import (
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// shareWrites gives each bucket's home an equal share of the fleet's writes, unless the rate is configured.
func (k *Keeper) shareWrites() {
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

// liveRegions counts the regions with a live entry; each has one home a bucket.
func liveRegions(fleet *eelgrassbeam.Fleet) int {
	regions := make(map[eelgrassbeam.RegionID]bool)
	for _, entry := range fleet.Entries {
		if entry.State == eelgrassbeam.InstanceLive {
			regions[entry.Region] = true
		}
	}
	return len(regions)
}
