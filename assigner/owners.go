package assigner

import (
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// ownerTable caches the owners of the sites in one fleet snapshot; they are computed on first use.
type ownerTable struct {
	fleet           *eelgrassbeam.Fleet
	entriesByZone   map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry
	entriesByRegion map[eelgrassbeam.RegionID][]eelgrassbeam.Entry
	// regionByZone is the region of each zone that has upstreams.
	regionByZone map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID

	mu     sync.Mutex
	owners map[eelgrassbeam.Site]ownerResult
}

type ownerResult struct {
	entry eelgrassbeam.Entry
	found bool
}

func newOwnerTable(fleet *eelgrassbeam.Fleet) *ownerTable {
	t := &ownerTable{
		fleet: fleet, entriesByZone: make(map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry),
		entriesByRegion: make(map[eelgrassbeam.RegionID][]eelgrassbeam.Entry),
		regionByZone:    make(map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID), owners: make(map[eelgrassbeam.Site]ownerResult),
	}
	for _, entry := range LiveEntries(fleet, nil) {
		t.entriesByZone[entry.Zone] = append(t.entriesByZone[entry.Zone], entry)
		t.entriesByRegion[entry.Region] = append(t.entriesByRegion[entry.Region], entry)
	}
	for _, upstream := range fleet.Upstreams {
		t.regionByZone[upstream.Zone] = upstream.Region
	}
	return t
}

func (t *ownerTable) owner(site eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result, ok := t.owners[site]
	if !ok {
		result = t.computeOwner(site)
		t.owners[site] = result
	}
	return result.entry, result.found
}

func (t *ownerTable) computeOwner(site eelgrassbeam.Site) ownerResult {
	candidates := t.entriesByZone[site.Zone]
	if len(candidates) == 0 {
		candidates = t.entriesByRegion[t.regionByZone[site.Zone]]
	}
	entry, found := HighestScoring(site.String(), candidates)
	return ownerResult{entry: entry, found: found}
}

func sitesOf(fleet *eelgrassbeam.Fleet) map[eelgrassbeam.Site]bool {
	sites := make(map[eelgrassbeam.Site]bool)
	for _, upstream := range fleet.Upstreams {
		sites[eelgrassbeam.Site{Service: upstream.Service, Zone: upstream.Zone}] = true
	}
	return sites
}
