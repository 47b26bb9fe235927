package fronter

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	// maxAddresses bounds the entries in an answer to a look-up; callers take no more.
	maxAddresses = 64
	// unequalAddresses is that bound among entries of unequal capacity, since callers choose among the addresses at random. Two of
	// three may fail before a caller has to ask again.
	unequalAddresses = 3
	// equalCapacity is how many times the least capacity the greatest may be among entries that count as equal.
	equalCapacity = 1.5
	// minCapacity stands for the capacity of an entry that doesn't tell it, in cores.
	minCapacity = 0.1
	// megabitsPerCore is the traffic of requests that keep one core busy, in Mbit/s: 2 ms and 10 kB each, measured on
	// sencnik-rez-grown. A link below that binds before the processor does.
	megabitsPerCore = 50
)

// capacity returns the work that the instance takes, in cores.
func capacity(node platform.Node) float64 {
	if node.LinkMegabits == 0 {
		return node.Cores
	}
	return min(node.Cores, node.LinkMegabits/megabitsPerCore)
}

// Find implements platform.Finder: ready entries of the caller's zone, else of its region, else any.
func (f *Fronter) Find(caller platform.Caller) []netip.AddrPort {
	var inZone, inRegion, all []eelgrassbeam.Entry
	for _, m := range f.gossiper.Members() {
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
	for _, found := range [][]eelgrassbeam.Entry{inZone, inRegion, all} {
		if len(found) > 0 {
			return choose(found, caller.Address.String())
		}
	}
	return nil
}

// choose returns the addresses of all entries of about equal capacity. Among others, and of very many, a caller gets some in proportion
// to their capacity: the same ones at each look-up, until one of them is lost.
func choose(entries []eelgrassbeam.Entry, caller string) []netip.AddrPort {
	limit := maxAddresses
	if !areEqual(entries) {
		limit = unequalAddresses
	}
	if len(entries) > limit {
		entries = best(entries, caller, limit)
	}
	addresses := make([]netip.AddrPort, len(entries))
	for i, entry := range entries {
		addresses[i] = entry.Address
	}
	return addresses
}

// best returns the caller's first entries by weighted rendezvous hashing.
func best(entries []eelgrassbeam.Entry, caller string, limit int) []eelgrassbeam.Entry {
	scores := make(map[eelgrassbeam.EntryID]float64, len(entries))
	for _, entry := range entries {
		scores[entry.ID] = assigner.Weigh(assigner.Score(caller, entry.ID), max(entry.Capacity, minCapacity))
	}
	slices.SortFunc(entries, func(a, b eelgrassbeam.Entry) int { return cmp.Compare(scores[b.ID], scores[a.ID]) })
	return entries[:limit]
}

func areEqual(entries []eelgrassbeam.Entry) bool {
	least, greatest := entries[0].Capacity, entries[0].Capacity
	for _, entry := range entries {
		least, greatest = min(least, entry.Capacity), max(greatest, entry.Capacity)
	}
	return greatest <= equalCapacity*least
}
