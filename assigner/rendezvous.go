// Package assigner selects the entry that dispatches to each site and decides when a new dispatcher may start.
package assigner

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// RendezvousScore returns the rendezvous hash of the key and the entry; the entry with the highest score is selected.
func RendezvousScore(key string, id eelgrassbeam.EntryID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(key)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// WeightedScore converts a hash to a weighted rendezvous score. The candidate with the highest score is selected, which
// makes the selection proportional to the weights.
func WeightedScore(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// SortByScore returns the entries in descending order of their score for the key; ties are ordered by ID.
func SortByScore(key string, entries []eelgrassbeam.Entry) []eelgrassbeam.Entry {
	type scored struct {
		entry eelgrassbeam.Entry
		score uint64
	}
	ranked := make([]scored, 0, len(entries))
	for _, entry := range entries {
		ranked = append(ranked, scored{entry: entry, score: RendezvousScore(key, entry.ID)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	result := make([]eelgrassbeam.Entry, len(ranked))
	for i := range ranked {
		result[i] = ranked[i].entry
	}
	return result
}

// HighestScoring returns the entry with the highest score for the key, or false if there are no entries.
func HighestScoring(key string, entries []eelgrassbeam.Entry) (eelgrassbeam.Entry, bool) {
	if len(entries) == 0 {
		return eelgrassbeam.Entry{}, false
	}
	best, bestScore := entries[0], RendezvousScore(key, entries[0].ID)
	for _, entry := range entries[1:] {
		score := RendezvousScore(key, entry.ID)
		if score > bestScore || score == bestScore && entry.ID < best.ID {
			best, bestScore = entry, score
		}
	}
	return best, true
}

// LiveEntries returns the live entries for which keep returns true; a nil keep selects all.
func LiveEntries(fleet *eelgrassbeam.Fleet, keep func(eelgrassbeam.Entry) bool) []eelgrassbeam.Entry {
	var live []eelgrassbeam.Entry
	for _, entry := range fleet.Entries {
		if entry.State == eelgrassbeam.InstanceLive && (keep == nil || keep(entry)) {
			live = append(live, entry)
		}
	}
	return live
}
