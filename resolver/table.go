package resolver

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/slowstarter"
)

// table is the look-up table of one fleet and configuration.
type table struct {
	fleet  *eelgrassbeam.Fleet
	config *eelgrassbeam.Configuration
	// since and until bound the time in which the drains and weights are valid; a zero until means no bound.
	since, until time.Time
	regions      []*regionTable
	byID         map[eelgrassbeam.RegionID]*regionTable
}

// regionTable holds the usable entries of one region.
type regionTable struct {
	id   eelgrassbeam.RegionID
	hash uint64
	// entries and candidates have the same indexes; scoring reads candidates only.
	entries    []eelgrassbeam.Entry
	candidates []candidate
	zones      int
	// weighted is false if all weights are equal.
	weighted bool
	// usableSince is when the region became usable again; zero if it was never out of use.
	usableSince time.Time
}

// candidate is the data of a usable entry that scoring needs.
type candidate struct {
	hash   uint64
	zone   int
	weight float64
}

func newTable(fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, now time.Time, byPosition bool) *table {
	t := &table{fleet: fleet, config: config, since: now, byID: make(map[eelgrassbeam.RegionID]*regionTable)}
	t.until = firstExpiry(config, now)
	zones := make(map[eelgrassbeam.ZoneID]int)
	for i, entry := range fleet.Entries {
		if entry.State != eelgrassbeam.InstanceLive || config.IsEntryDrained(entry, now) {
			continue
		}
		region := t.ensureRegion(entry.Region)
		if _, ok := zones[entry.Zone]; !ok {
			zones[entry.Zone] = region.zones
			region.zones++
		}
		c := candidate{hash: hashID(entry.ID), zone: zones[entry.Zone], weight: zoneWeight(config, entry.Zone, now)}
		if byPosition {
			c.hash = mix(uint64(i), uint64(len(fleet.Entries)))
		}
		region.entries = append(region.entries, entry)
		region.candidates = append(region.candidates, c)
		region.weighted = region.weighted || c.weight != region.candidates[0].weight
	}
	slices.SortFunc(t.regions, func(a, b *regionTable) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return t
}

// inheritUsableSince copies usableSince from the previous table. Regions that were not in that table became usable when
// this one was built.
func (t *table) inheritUsableSince(old *table) {
	for _, region := range t.regions {
		if before, ok := old.byID[region.id]; ok {
			region.usableSince = before.usableSince
			continue
		}
		region.usableSince = t.since
	}
}

// isCold reports whether the region is in slow start and does not serve the block yet. The share of blocks that it
// serves rises over the slow start, as the slots of its upstreams do.
func (r *regionTable) isCold(block uint64, now time.Time, slowStart time.Duration) bool {
	if r.usableSince.IsZero() {
		return false
	}
	position := float64(mix(r.hash, block)>>11) / (1 << 53)
	return position >= slowstarter.Share(now.Sub(r.usableSince), slowStart)
}

func (t *table) ensureRegion(id eelgrassbeam.RegionID) *regionTable {
	if region, ok := t.byID[id]; ok {
		return region
	}
	region := &regionTable{id: id, hash: hashID(id)}
	t.byID[id] = region
	t.regions = append(t.regions, region)
	return region
}

func (t *table) isCurrent(fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, now time.Time) bool {
	return t.fleet == fleet && t.config == config && !now.Before(t.since) && (t.until.IsZero() || now.Before(t.until))
}

// region returns the region for the block and the reason: the nearest one, else the home region, else any usable
// one; nil if none is usable.
func (t *table) region(
	near eelgrassbeam.RegionID, known bool, home eelgrassbeam.RegionID, block uint64,
) (*regionTable, Reason) {
	if region, ok := t.byID[near]; ok && known {
		return region, ReasonBlock
	}
	if region, ok := t.byID[home]; ok {
		return region, ReasonHome
	}
	return t.otherRegion(nil, block), ReasonElsewhere
}

// otherRegion returns the region with the highest rendezvous score for the block, except the excluded one; nil if
// there is no other.
func (t *table) otherRegion(exclude *regionTable, block uint64) *regionTable {
	var best *regionTable
	var bestScore uint64
	for _, region := range t.regions {
		if region == exclude {
			continue
		}
		if score := mix(region.hash, block); best == nil || score > bestScore {
			best, bestScore = region, score
		}
	}
	return best
}

func firstExpiry(config *eelgrassbeam.Configuration, now time.Time) time.Time {
	var first time.Time
	for _, exception := range config.Exceptions {
		if expiry := exception.ExpiresAt; expiry.After(now) && (first.IsZero() || expiry.Before(first)) {
			first = expiry
		}
	}
	return first
}

func zoneWeight(config *eelgrassbeam.Configuration, zone eelgrassbeam.ZoneID, now time.Time) float64 {
	exception, ok := config.Exception(eelgrassbeam.SettingWeight, eelgrassbeam.TargetZone, string(zone), now)
	if !ok {
		return 1
	}
	return exception.Number()
}

func hashID[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// mix combines two hashes into one by folding a 128-bit product.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^mixA, b^mixB)
	high, low = bits.Mul64(high^low^mixA, mixB)
	return high ^ low
}

// mixA and mixB are odd constants with irregular bit patterns.
const (
	mixA = 0x9e3779b97f4a7c15
	mixB = 0xd6e8feb86659fd93
)
