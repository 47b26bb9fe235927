package monitor

import (
	"cmp"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// WatcherCount is the number of entries that watch each entry, where there are so many.
	WatcherCount = 3
	// MaxFanIn bounds the entries that send heartbeats to one entry.
	MaxFanIn = 5

	nearWatchers = 2
	ringKey      = "watchers"
	// maxWalk bounds the search for a watcher in another zone, in entries.
	maxWalk = 64
)

// plan tells who watches whom in one view; each entry works out the same plan from the same view.
type plan struct {
	watchers map[eelgrassbeam.EntryID][]eelgrassbeam.EntryID
	load     map[eelgrassbeam.EntryID]int
}

// newPlan gives each live entry two watchers on the ring of its own zone, or of a larger group where the zone is
// small, and one in another zone.
func newPlan(live []eelgrassbeam.Entry) *plan {
	p := &plan{
		watchers: make(map[eelgrassbeam.EntryID][]eelgrassbeam.EntryID, len(live)),
		load:     make(map[eelgrassbeam.EntryID]int, len(live)),
	}
	ranked := assigner.Rank(ringKey, live)
	for _, group := range groups(ranked) {
		p.chooseNear(group)
	}
	ring := interleave(ranked)
	for i := range ring {
		p.fill(ring, i, func(e eelgrassbeam.Entry) bool { return e.Zone != ring[i].Zone })
		p.fill(ring, i, func(eelgrassbeam.Entry) bool { return true })
	}
	return p
}

// watched returns the entries that the given one watches.
func (p *plan) watched(id eelgrassbeam.EntryID) []eelgrassbeam.EntryID {
	var found []eelgrassbeam.EntryID
	for subject, watchers := range p.watchers {
		if slices.Contains(watchers, id) {
			found = append(found, subject)
		}
	}
	return found
}

func (p *plan) chooseNear(ring []eelgrassbeam.Entry) {
	for i, entry := range ring {
		for step := 1; step <= nearWatchers; step++ {
			p.add(entry.ID, ring[(i+step)%len(ring)].ID)
		}
	}
}

// fill adds the next entries of the ring that the filter keeps until the entry at i has all its watchers.
func (p *plan) fill(ring []eelgrassbeam.Entry, i int, keep func(eelgrassbeam.Entry) bool) {
	id := ring[i].ID
	for step := 1; step < min(len(ring), maxWalk) && len(p.watchers[id]) < WatcherCount; step++ {
		next := ring[(i+step)%len(ring)]
		if keep(next) && p.load[next.ID] < MaxFanIn && !slices.Contains(p.watchers[id], next.ID) {
			p.add(id, next.ID)
		}
	}
}

func (p *plan) add(subject, watcher eelgrassbeam.EntryID) {
	p.watchers[subject] = append(p.watchers[subject], watcher)
	p.load[watcher]++
}

// groups returns the zones of at least three entries, then the same of regions over entries that are left, then the rest of the
// fleet if it has three.
func groups(ranked []eelgrassbeam.Entry) [][]eelgrassbeam.Entry {
	var found [][]eelgrassbeam.Entry
	keys := []func(eelgrassbeam.Entry) string{
		func(e eelgrassbeam.Entry) string { return string(e.Zone) },
		func(e eelgrassbeam.Entry) string { return string(e.Region) },
		func(eelgrassbeam.Entry) string { return "" },
	}
	left := ranked
	for _, key := range keys {
		members := make(map[string][]eelgrassbeam.Entry)
		for _, entry := range left {
			members[key(entry)] = append(members[key(entry)], entry)
		}
		left = only(left, func(e eelgrassbeam.Entry) bool { return len(members[key(e)]) < WatcherCount })
		for _, group := range members {
			if len(group) >= WatcherCount {
				found = append(found, group)
			}
		}
	}
	return found
}

// interleave orders the entries by their place in their zone, as a share of the zone's size.
func interleave(ranked []eelgrassbeam.Entry) []eelgrassbeam.Entry {
	type placed struct {
		entry eelgrassbeam.Entry
		place float64
	}
	zones := make(map[eelgrassbeam.ZoneID]int)
	for _, entry := range ranked {
		zones[entry.Zone]++
	}
	seen := make(map[eelgrassbeam.ZoneID]int)
	ring := make([]placed, 0, len(ranked))
	for _, entry := range ranked {
		ring = append(ring, placed{entry: entry, place: (float64(seen[entry.Zone]) + 0.5) / float64(zones[entry.Zone])})
		seen[entry.Zone]++
	}
	slices.SortStableFunc(ring, func(a, b placed) int { return cmp.Compare(a.place, b.place) })
	result := make([]eelgrassbeam.Entry, len(ring))
	for i := range ring {
		result[i] = ring[i].entry
	}
	return result
}

func only(entries []eelgrassbeam.Entry, keep func(eelgrassbeam.Entry) bool) []eelgrassbeam.Entry {
	var kept []eelgrassbeam.Entry
	for _, entry := range entries {
		if keep(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}
