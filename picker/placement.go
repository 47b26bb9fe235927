package picker

import "github.com/eelgrassbeam/eelgrassbeam"

// minPlacement is the least factor of an upstream's slots, so that each upstream has a place in every key's order.
const minPlacement = 0.02

// expectedUse is the part of a service's slots that callers are taken to use on a usual day.
const expectedUse = 0.8

// placement returns by what factor the slots of each availability zone count when the homes of keys from callers of the zone self are
// chosen. All zones are taken to bring equal load. It fills the zone's own slots first, then its region's, then all others, each
// level shared in proportion to the load that is left there, so that a zone with few slots doesn't fill up with near callers only.
func placement(self eelgrassbeam.ZoneID, regions map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID, slots map[eelgrassbeam.ZoneID]float64) map[eelgrassbeam.ZoneID]float64 {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	levels := []func(eelgrassbeam.ZoneID) string{
		func(zone eelgrassbeam.ZoneID) string { return string(regions[zone]) },
		func(eelgrassbeam.ZoneID) string { return "" },
	}
	demand, free := make(map[eelgrassbeam.ZoneID]float64), make(map[eelgrassbeam.ZoneID]float64)
	for zone := range regions {
		demand[zone] = total * expectedUse / float64(len(regions))
	}
	flow := make(map[eelgrassbeam.ZoneID]float64)
	for zone, n := range slots {
		free[zone] = n
	}
	for _, group := range levels {
		wanted, room := make(map[string]float64), make(map[string]float64)
		for zone, n := range demand {
			wanted[group(zone)] += n
		}
		for zone, n := range free {
			room[group(zone)] += n
		}
		served := func(g string) float64 { return min(wanted[g], room[g]) }
		own := group(self)
		if wanted[own] > 0 && room[own] > 0 {
			for zone, n := range free {
				if group(zone) == own {
					flow[zone] += demand[self] / wanted[own] * served(own) * n / room[own]
				}
			}
		}
		for zone := range demand {
			if g := group(zone); wanted[g] > 0 {
				demand[zone] *= 1 - served(g)/wanted[g]
			}
		}
		for zone := range free {
			if g := group(zone); room[g] > 0 {
				free[zone] *= 1 - served(g)/room[g]
			}
		}
	}
	factors := make(map[eelgrassbeam.ZoneID]float64, len(slots))
	for zone, n := range slots {
		factors[zone] = max(flow[zone]/max(n, 1)*float64(len(regions)), minPlacement)
	}
	return factors
}
