package assigner

import (
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// ownerTable holds the owners of one view, worked out on first use.
type ownerTable struct {
	fleet   *eelgrassbeam.Fleet
	zones   map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry
	regions map[eelgrassbeam.RegionID][]eelgrassbeam.Entry
	// regionOf tells in which region a zone lies.
	regionOf map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID

	mu     sync.Mutex
	owners map[eelgrassbeam.Site]ownership
}

type ownership struct {
	entry eelgrassbeam.Entry
	found bool
}

func newOwnerTable(fleet *eelgrassbeam.Fleet) *ownerTable {
	t := &ownerTable{
		fleet: fleet, zones: make(map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry),
		regions:  make(map[eelgrassbeam.RegionID][]eelgrassbeam.Entry),
		regionOf: make(map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID), owners: make(map[eelgrassbeam.Site]ownership),
	}
	for _, entry := range Live(fleet, nil) {
		t.zones[entry.Zone] = append(t.zones[entry.Zone], entry)
		t.regions[entry.Region] = append(t.regions[entry.Region], entry)
	}
	for _, upstream := range fleet.Upstreams {
		t.regionOf[upstream.Zone] = upstream.Region
	}
	return t
}

func (t *ownerTable) owner(site eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.owners[site]
	if !ok {
		known = t.find(site)
		t.owners[site] = known
	}
	return known.entry, known.found
}

func (t *ownerTable) find(site eelgrassbeam.Site) ownership {
	candidates := t.zones[site.Zone]
	if len(candidates) == 0 {
		candidates = t.regions[t.regionOf[site.Zone]]
	}
	entry, found := First(site.String(), candidates)
	return ownership{entry: entry, found: found}
}

func sitesOf(fleet *eelgrassbeam.Fleet) map[eelgrassbeam.Site]bool {
	sites := make(map[eelgrassbeam.Site]bool)
	for _, upstream := range fleet.Upstreams {
		sites[eelgrassbeam.Site{Service: upstream.Service, Zone: upstream.Zone}] = true
	}
	return sites
}
