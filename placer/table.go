package placer

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/ramper"
)

// table is what look-ups need of one fleet and configuration.
type table struct {
	fleet  *eelgrassbeam.Fleet
	config *eelgrassbeam.Configuration
	// since and until bound the time in which the drains and weights hold; a zero until is open.
	since, until time.Time
	regions      []*regionTable
	byID         map[eelgrassbeam.RegionID]*regionTable
}

// regionTable holds the usable entries of one region.
type regionTable struct {
	id   eelgrassbeam.RegionID
	hash uint64
	// entries and candidates run in parallel; scoring reads candidates only.
	entries    []eelgrassbeam.Entry
	candidates []candidate
	zones      int
	// weighted is set unless all weights are equal.
	weighted bool
	// usableSince is when the region came back into use; zero for one that never was out of use.
	usableSince time.Time
}

// candidate is what scoring needs of a usable entry.
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
		region := t.join(entry.Region)
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

// follow takes over since when the regions of the table before are in use; the others come back now.
func (t *table) follow(old *table) {
	for _, region := range t.regions {
		if before, ok := old.byID[region.id]; ok {
			region.usableSince = before.usableSince
			continue
		}
		region.usableSince = t.since
	}
}

// isCold tells whether the block does not yet belong to the part that a region which came back serves. The part rises
// over the slow start, as its upstreams' slots do.
func (r *regionTable) isCold(block uint64, now time.Time, slowStart time.Duration) bool {
	if r.usableSince.IsZero() {
		return false
	}
	place := float64(mix(r.hash, block)>>11) / (1 << 53)
	return place >= ramper.Share(now.Sub(r.usableSince), slowStart)
}

func (t *table) join(id eelgrassbeam.RegionID) *regionTable {
	if region, ok := t.byID[id]; ok {
		return region
	}
	region := &regionTable{id: id, hash: hashID(id)}
	t.byID[id] = region
	t.regions = append(t.regions, region)
	return region
}

func (t *table) holds(fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, now time.Time) bool {
	return t.fleet == fleet && t.config == config && !now.Before(t.since) && (t.until.IsZero() || now.Before(t.until))
}

// region returns the nearest usable region; nil without one.
func (t *table) region(
	near eelgrassbeam.RegionID, known bool, home eelgrassbeam.RegionID, block uint64,
) (*regionTable, Reason) {
	if region, ok := t.byID[near]; ok && known {
		return region, ReasonBlock
	}
	if region, ok := t.byID[home]; ok {
		return region, ReasonHome
	}
	return t.elsewhere(nil, block), ReasonElsewhere
}

// elsewhere returns the block's first choice among the other regions; nil without one.
func (t *table) elsewhere(not *regionTable, block uint64) *regionTable {
	var best *regionTable
	var bestScore uint64
	for _, region := range t.regions {
		if region == not {
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

// mix hashes two hashes into one by folding a 128-bit product.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^mixA, b^mixB)
	high, low = bits.Mul64(high^low^mixA, mixB)
	return high ^ low
}

// mixA and mixB are odd words without a pattern.
const (
	mixA = 0x9e3779b97f4a7c15
	mixB = 0xd6e8feb86659fd93
)
