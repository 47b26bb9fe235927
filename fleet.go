package eelgrassbeam

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Entry is an entry instance as the fleet sees it.
type Entry struct {
	ID              EntryID        `json:"id"`
	Address         netip.AddrPort `json:"address"`
	PeerAddress     netip.AddrPort `json:"peer_address"`
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero"`
	Zone            ZoneID         `json:"zone"`
	Region          RegionID       `json:"region"`
	State           InstanceState  `json:"state"`
	// Capacity is the work that it takes in proportion to other entries; zero where it doesn't say.
	Capacity float64 `json:"capacity,omitempty"`
}

// Upstream is a backend server as the fleet sees it.
type Upstream struct {
	ID      UpstreamID     `json:"id"`
	Service ServiceName    `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    ZoneID         `json:"zone"`
	Region  RegionID       `json:"region"`
	State   InstanceState  `json:"state"`
	// Slots is the number of requests that it runs at once; zero where it doesn't say.
	Slots int `json:"slots,omitempty"`
	// Started tells its starts apart, in Unix milliseconds; zero where it doesn't say.
	Started int64 `json:"started,omitempty"`
	// Sequence rises with each report of one start.
	Sequence uint64 `json:"sequence,omitempty"`
	// Revision is the store's revision of the entry that names it.
	Revision uint64 `json:"revision,omitempty"`
	// ColdUntil is when it stops being cold, by this process's clock; zero for a warm one.
	ColdUntil time.Time `json:"-" cbor:"-"`
}

// Site is the group of one service's upstreams in one availability zone.
type Site struct {
	Service ServiceName `json:"service"`
	Zone    ZoneID      `json:"zone"`
}

// String returns "service@zone".
func (s Site) String() string { return string(s.Service) + "@" + string(s.Zone) }

// Fleet is an immutable view of all entries and upstreams.
type Fleet struct {
	// Revision rises with each new view of one process.
	Revision uint64 `json:"revision"`
	// Entries are sorted by ID and include leaving and failed ones.
	Entries []Entry `json:"entries"`
	// Upstreams are sorted by ID and include leaving ones.
	Upstreams []Upstream `json:"upstreams"`
}

// NewFleet builds a view from rows of the instance list.
func NewFleet(list InstanceList) *Fleet {
	fleet := &Fleet{Revision: list.Revision}
	for _, row := range list.Instances {
		if row.Kind == InstanceEntry {
			fleet.Entries = append(fleet.Entries, entryOf(row))
			continue
		}
		fleet.Upstreams = append(fleet.Upstreams, upstreamOf(row))
	}
	slices.SortFunc(fleet.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(fleet.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return fleet
}

// Entry returns the entry with the given id.
func (f *Fleet) Entry(id EntryID) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(f.Entries, id, func(e Entry, id EntryID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Entry{}, false
	}
	return f.Entries[i], true
}

// SiteUpstreams returns the site's upstreams, sorted by ID, leaving ones included.
func (f *Fleet) SiteUpstreams(site Site) []Upstream {
	var found []Upstream
	for _, u := range f.Upstreams {
		if u.Service == site.Service && u.Zone == site.Zone {
			found = append(found, u)
		}
	}
	return found
}

// ServiceSites returns each site of the service with its region, sorted by zone.
func (f *Fleet) ServiceSites(service ServiceName) []LocatedSite {
	var sites []LocatedSite
	for _, u := range f.Upstreams {
		site := LocatedSite{Site: Site{Service: service, Zone: u.Zone}, Region: u.Region}
		if u.Service == service && !slices.Contains(sites, site) {
			sites = append(sites, site)
		}
	}
	slices.SortFunc(sites, func(a, b LocatedSite) int { return cmp.Compare(a.Zone, b.Zone) })
	return sites
}

// LocatedSite is a site with the region that it lies in.
type LocatedSite struct {
	Site
	Region RegionID `json:"region"`
}

// FleetSource returns the current view; it is never nil.
type FleetSource interface {
	Fleet() *Fleet
}

func entryOf(row Instance) Entry {
	return Entry{
		ID: EntryID(row.ID), Address: row.Address, PeerAddress: row.PeerAddress,
		OperatorAddress: row.OperatorAddress, Zone: row.Zone, Region: row.Region, State: row.State,
	}
}

func upstreamOf(row Instance) Upstream {
	return Upstream{
		ID: UpstreamID(row.ID), Service: row.Service, Address: row.Address,
		Zone: row.Zone, Region: row.Region, State: row.State,
	}
}
