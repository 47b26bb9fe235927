package monitor

import (
	"cmp"
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
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

// plan tells who watches whom in one view; each entry works out the same plan from the same view. Entries go by
// their places in the ranked list.
type plan struct {
	ranked   []eelgrassbeam.Entry
	watchers [][]int
	load     []int
}

// newPlan takes the live entries as ranked by ringKey and gives each two watchers on the ring of its own zone, or of a
// larger group where the zone is small, and one in another zone.
func newPlan(ranked []eelgrassbeam.Entry) *plan {
	p := &plan{ranked: ranked, watchers: make([][]int, len(ranked)), load: make([]int, len(ranked))}
	places := make([]int, len(ranked)*WatcherCount)
	for i := range ranked {
		p.watchers[i] = places[i*WatcherCount : i*WatcherCount : (i+1)*WatcherCount]
	}
	for _, group := range groups(ranked) {
		p.chooseNear(group)
	}
	ring := interleave(ranked)
	for i := range ring {
		p.fill(ring, i, true)
		p.fill(ring, i, false)
	}
	return p
}

// watchersOf returns the entries that watch the given one.
func (p *plan) watchersOf(id eelgrassbeam.EntryID) []eelgrassbeam.EntryID {
	i := p.place(id)
	if i < 0 {
		return nil
	}
	return p.ids(p.watchers[i])
}

// watchedBy returns the entries that the given one watches.
func (p *plan) watchedBy(id eelgrassbeam.EntryID) []eelgrassbeam.EntryID {
	var found []int
	watcher := p.place(id)
	for subject, watchers := range p.watchers {
		if slices.Contains(watchers, watcher) {
			found = append(found, subject)
		}
	}
	return p.ids(found)
}

func (p *plan) place(id eelgrassbeam.EntryID) int {
	return slices.IndexFunc(p.ranked, func(e eelgrassbeam.Entry) bool { return e.ID == id })
}

func (p *plan) ids(places []int) []eelgrassbeam.EntryID {
	var found []eelgrassbeam.EntryID
	for _, place := range places {
		found = append(found, p.ranked[place].ID)
	}
	return found
}

func (p *plan) chooseNear(ring []int) {
	for i, subject := range ring {
		for step := 1; step <= nearWatchers; step++ {
			p.add(subject, ring[(i+step)%len(ring)])
		}
	}
}

// fill adds the next entries of the ring, of other zones only where foreign is set, until the one at i has all its watchers.
func (p *plan) fill(ring []int, i int, foreign bool) {
	subject := ring[i]
	for step := 1; step < min(len(ring), maxWalk) && len(p.watchers[subject]) < WatcherCount; step++ {
		next := ring[(i+step)%len(ring)]
		if foreign && p.ranked[next].Zone == p.ranked[subject].Zone {
			continue
		}
		if p.load[next] < MaxFanIn && !slices.Contains(p.watchers[subject], next) {
			p.add(subject, next)
		}
	}
}

func (p *plan) add(subject, watcher int) {
	p.watchers[subject] = append(p.watchers[subject], watcher)
	p.load[watcher]++
}

// groups returns the zones of at least three entries, then the regions' entries that are left, where these are three
// or more, then the rest of the fleet if it has three.
func groups(ranked []eelgrassbeam.Entry) [][]int {
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

// interleave orders the entries by their place in their zone, as a share of the zone's size.
func interleave(ranked []eelgrassbeam.Entry) []int {
	type placed struct {
		index int
		place float64
	}
	zones := make(map[eelgrassbeam.ZoneID]int)
	for _, entry := range ranked {
		zones[entry.Zone]++
	}
	seen := make(map[eelgrassbeam.ZoneID]int)
	ring := make([]placed, 0, len(ranked))
	for i, entry := range ranked {
		ring = append(ring, placed{index: i, place: (float64(seen[entry.Zone]) + 0.5) / float64(zones[entry.Zone])})
		seen[entry.Zone]++
	}
	slices.SortFunc(ring, func(a, b placed) int { return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.index, b.index)) })
	result := make([]int, len(ring))
	for i := range ring {
		result[i] = ring[i].index
	}
	return result
}
