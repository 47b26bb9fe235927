package directserver

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	// maxAddresses bounds the entries in a lookup response; callers accept no more.
	maxAddresses = 64
	// maxWeightedAddresses replaces maxAddresses if the entries' capacities differ. Callers choose among the returned
	// addresses at random, so capacity can only be taken into account by returning few of them. With three addresses,
	// two entries may fail before a caller has to look up again.
	maxWeightedAddresses = 3
	// maxUniformRatio is the maximum ratio of the largest to the smallest capacity among entries that count as equal.
	maxUniformRatio = 1.5
	// minCapacity is the least capacity assumed for an entry, in cores; it applies to entries that report none.
	minCapacity = 0.1
	// megabitsPerCore is the traffic that keeps one core busy, in Mbit/s: a request takes about 2 ms of CPU time
	// and about 10 kB of traffic. With a slower link, the link is the bottleneck rather than the CPU.
	megabitsPerCore = 50
)

// capacity returns the capacity of the instance in cores, limited by its network link.
func capacity(settings platform.Settings) float64 {
	if settings.LinkMegabitsPerSecond == 0 {
		return settings.Cores
	}
	return min(settings.Cores, settings.LinkMegabitsPerSecond/megabitsPerCore)
}

// Find implements platform.Finder. It returns ready entries of the caller's zone, else of its region, else all.
func (s *Server) Find(caller platform.Caller) []netip.AddrPort {
	var inZone, inRegion, all []eelgrassbeam.Entry
	for _, m := range s.gossiper.Members() {
		if !m.IsReady || m.Entry.State != eelgrassbeam.InstanceLive {
			continue
		}
		all = append(all, m.Entry)
		if m.Entry.Region == caller.Region {
			inRegion = append(inRegion, m.Entry)
		}
		if m.Entry.Zone == caller.Zone {
			inZone = append(inZone, m.Entry)
		}
	}
	for _, candidates := range [][]eelgrassbeam.Entry{inZone, inRegion, all} {
		if len(candidates) > 0 {
			return selectAddresses(candidates, caller.Address.String())
		}
	}
	return nil
}

// selectAddresses returns the addresses of all entries if their capacities are about equal. If they differ, or if
// there are more than maxAddresses, it selects a subset per caller, weighted by capacity. The subset is stable
// across lookups until one of its entries is lost.
func selectAddresses(entries []eelgrassbeam.Entry, caller string) []netip.AddrPort {
	limit := maxAddresses
	if !haveUniformCapacity(entries) {
		limit = maxWeightedAddresses
	}
	if len(entries) > limit {
		entries = highestScored(entries, caller, limit)
	}
	addresses := make([]netip.AddrPort, len(entries))
	for i, entry := range entries {
		addresses[i] = entry.Address
	}
	return addresses
}

// highestScored sorts the entries by weighted rendezvous hashing of the caller and returns the first limit of them.
func highestScored(entries []eelgrassbeam.Entry, caller string, limit int) []eelgrassbeam.Entry {
	scores := make(map[eelgrassbeam.EntryID]float64, len(entries))
	for _, entry := range entries {
		scores[entry.ID] = assigner.WeightedScore(assigner.RendezvousScore(caller, entry.ID), max(entry.Capacity, minCapacity))
	}
	slices.SortFunc(entries, func(a, b eelgrassbeam.Entry) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return entries[:limit]
}

func haveUniformCapacity(entries []eelgrassbeam.Entry) bool {
	smallest, largest := entries[0].Capacity, entries[0].Capacity
	for _, entry := range entries {
		smallest, largest = min(smallest, entry.Capacity), max(largest, entry.Capacity)
	}
	return largest <= maxUniformRatio*smallest
}
