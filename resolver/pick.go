package resolver

import (
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// maxEntries is the maximum number of entries in one answer.
	maxEntries = 16
	// maxSpreadZones is the maximum number of zones per region from which the first fallback entries are taken, one
	// from each.
	maxSpreadZones = 16
	// minEntriesForOtherRegion is the length of an answer from which its last entry is in another region.
	minEntriesForOtherRegion = 3
)

// topList holds the indexes of the best candidates so far, in descending order of score.
type topList struct {
	indexes [maxEntries]int
	scores  [maxEntries]float64
	length  int
	limit   int
}

// pick returns up to want entries in order of preference for the block: the best one of the region, the best one of
// each other zone, then the others. If the region has too few, entries of other regions follow; an answer of at
// least minEntriesForOtherRegion always ends with one, if there is another region.
func (t *table) pick(region *regionTable, block uint64, want int) []eelgrassbeam.Entry {
	want = min(max(want, 1), maxEntries)
	picked := make([]eelgrassbeam.Entry, 0, want)
	other := t.otherRegion(region, block)
	local := want
	if other != nil && want >= minEntriesForOtherRegion {
		local--
	}
	picked = region.pick(picked, block, local)
	if other != nil {
		picked = other.pick(picked, block, want-len(picked))
	}
	for _, remaining := range t.regions {
		if len(picked) == want {
			break
		}
		if remaining != region && remaining != other {
			picked = remaining.pick(picked, block, want-len(picked))
		}
	}
	return picked
}

// pick appends up to want entries of the region to picked.
func (r *regionTable) pick(picked []eelgrassbeam.Entry, block uint64, want int) []eelgrassbeam.Entry {
	if want <= 0 {
		return picked
	}
	overall, zones := r.topCandidates(block, want)
	var order topList
	order.limit = want
	order.append(overall.indexes[0])
	for _, i := range zones.indexes[:zones.length] {
		order.append(i)
	}
	for _, i := range overall.indexes[:overall.length] {
		order.append(i)
	}
	for _, i := range order.indexes[:order.length] {
		picked = append(picked, r.entries[i])
	}
	return picked
}

// topCandidates returns the want best candidates overall, and the best one of each of the first maxSpreadZones zones,
// both in descending order of score.
func (r *regionTable) topCandidates(block uint64, want int) (overall, zones topList) {
	overall.limit, zones.limit = want, maxEntries
	var best [maxSpreadZones]int
	var scores [maxSpreadZones]float64
	for i := range r.candidates {
		c := &r.candidates[i]
		score := r.score(c, block)
		overall.add(i, score)
		if c.zone < maxSpreadZones && (scores[c.zone] == 0 || score > scores[c.zone]) {
			best[c.zone], scores[c.zone] = i, score
		}
	}
	for zone := range min(r.zones, maxSpreadZones) {
		zones.add(best[zone], scores[zone])
	}
	return overall, zones
}

// score returns the weighted rendezvous hashing score. With equal weights the plain hash gives the same order.
func (r *regionTable) score(c *candidate, block uint64) float64 {
	hash := mix(c.hash, block)
	if !r.weighted {
		// As in assigner.WeightedScore, 0.5 keeps the score above zero, which topCandidates takes for "no candidate
		// yet".
		return float64(hash>>11) + 0.5
	}
	return assigner.WeightedScore(hash, c.weight)
}

func (r *topList) add(index int, score float64) {
	if r.length == r.limit && score <= r.scores[r.length-1] {
		return
	}
	at := r.length
	if at == r.limit {
		at--
	} else {
		r.length++
	}
	for ; at > 0 && r.scores[at-1] < score; at-- {
		r.indexes[at], r.scores[at] = r.indexes[at-1], r.scores[at-1]
	}
	r.indexes[at], r.scores[at] = index, score
}

// append adds the index at the end unless it is already present or the list is full.
func (r *topList) append(index int) {
	if r.length == r.limit || slices.Contains(r.indexes[:r.length], index) {
		return
	}
	r.indexes[r.length] = index
	r.length++
}
