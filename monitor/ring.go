package monitor

import (
	"cmp"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// WatcherCount is the number of entries that watch each entry, if the fleet is large enough.
	WatcherCount = 3
	// MaxFanIn is the maximum number of entries that send heartbeats to one entry.
	MaxFanIn = 5

	localWatchers = 2
	ringKey       = "watchers"
	// maxSearch limits the search for further watchers, in entries.
	maxSearch = 64
)

// watchPlan assigns watchers to the entries of one view. It is deterministic: each entry computes the same plan from
// the same view. Entries are identified by their index in ranked.
type watchPlan struct {
	ranked   []eelgrassbeam.Entry
	watchers [][]int
	fanIn    []int
}

// newWatchPlan assigns watchers to the live entries, ranked by rendezvous hashing with ringKey. Each gets two watchers
// on the ring of its zone, or of a larger group if the zone is small, and one in another zone.
func newWatchPlan(ranked []eelgrassbeam.Entry) *watchPlan {
	p := &watchPlan{ranked: ranked, watchers: make([][]int, len(ranked)), fanIn: make([]int, len(ranked))}
	backing := make([]int, len(ranked)*WatcherCount)
	for i := range ranked {
		p.watchers[i] = backing[i*WatcherCount : i*WatcherCount : (i+1)*WatcherCount]
	}
	for _, group := range watchGroups(ranked) {
		p.assignLocal(group)
	}
	ring := interleave(ranked)
	for i := range ring {
		p.assignRemaining(ring, i, true)
		p.assignRemaining(ring, i, false)
	}
	return p
}

// watchersOf returns the entries that watch the given one; nil if it is not in the plan.
func (p *watchPlan) watchersOf(id eelgrassbeam.EntryID) []eelgrassbeam.EntryID {
	i := p.index(id)
	if i < 0 {
		return nil
	}
	return p.entryIDs(p.watchers[i])
}

// watchedBy returns the entries that the given one watches.
func (p *watchPlan) watchedBy(id eelgrassbeam.EntryID) []eelgrassbeam.EntryID {
	var found []int
	watcher := p.index(id)
	for subject, watchers := range p.watchers {
		if slices.Contains(watchers, watcher) {
			found = append(found, subject)
		}
	}
	return p.entryIDs(found)
}

func (p *watchPlan) index(id eelgrassbeam.EntryID) int {
	return slices.IndexFunc(p.ranked, func(e eelgrassbeam.Entry) bool { return e.ID == id })
}

func (p *watchPlan) entryIDs(indexes []int) []eelgrassbeam.EntryID {
	var found []eelgrassbeam.EntryID
	for _, i := range indexes {
		found = append(found, p.ranked[i].ID)
	}
	return found
}

func (p *watchPlan) assignLocal(ring []int) {
	for i, subject := range ring {
		for step := 1; step <= localWatchers; step++ {
			p.add(subject, ring[(i+step)%len(ring)])
		}
	}
}

// assignRemaining adds the next entries of the ring, only those of other zones if otherZones is set, until the entry at
// ring[i] has WatcherCount watchers. It skips entries at MaxFanIn.
func (p *watchPlan) assignRemaining(ring []int, i int, otherZones bool) {
	subject := ring[i]
	for step := 1; step < min(len(ring), maxSearch) && len(p.watchers[subject]) < WatcherCount; step++ {
		next := ring[(i+step)%len(ring)]
		if otherZones && p.ranked[next].Zone == p.ranked[subject].Zone {
			continue
		}
		if p.fanIn[next] < MaxFanIn && !slices.Contains(p.watchers[subject], next) {
			p.add(subject, next)
		}
	}
}

func (p *watchPlan) add(subject, watcher int) {
	p.watchers[subject] = append(p.watchers[subject], watcher)
	p.fanIn[watcher]++
}

// watchGroups partitions the entries into groups of at least WatcherCount: by zone, then the remaining ones by region,
// then the rest of the fleet. Entries that are left after that are in no group.
func watchGroups(ranked []eelgrassbeam.Entry) [][]int {
	var found [][]int
	keys := []func(eelgrassbeam.Entry) string{
		func(e eelgrassbeam.Entry) string { return string(e.Zone) },
		func(e eelgrassbeam.Entry) string { return string(e.Region) },
		func(eelgrassbeam.Entry) string { return "" },
	}
	left := make([]int, len(ranked))
	for i := range left {
		left[i] = i
	}
	for _, key := range keys {
		members := make(map[string][]int)
		for _, i := range left {
			members[key(ranked[i])] = append(members[key(ranked[i])], i)
		}
		left = slices.DeleteFunc(left, func(i int) bool { return len(members[key(ranked[i])]) >= WatcherCount })
		for _, group := range members {
			if len(group) >= WatcherCount {
				found = append(found, group)
			}
		}
	}
	return found
}

// interleave orders the entries by their relative position within their zone, so that zones alternate on the ring.
func interleave(ranked []eelgrassbeam.Entry) []int {
	type placed struct {
		index int
		place float64
	}
	zones := make(map[eelgrassbeam.ZoneID]int)
	for _, entry := range ranked {
		zones[entry.Zone]++
	}
	seenInZone := make(map[eelgrassbeam.ZoneID]int)
	ring := make([]placed, 0, len(ranked))
	for i, entry := range ranked {
		ring = append(ring, placed{index: i, place: (float64(seenInZone[entry.Zone]) + 0.5) / float64(zones[entry.Zone])})
		seenInZone[entry.Zone]++
	}
	slices.SortFunc(ring, func(a, b placed) int { return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.index, b.index)) })
	result := make([]int, len(ring))
	for i := range ring {
		result[i] = ring[i].index
	}
	return result
}
