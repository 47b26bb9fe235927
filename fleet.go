package eelgrassbeam

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Entry is an entry instance in the fleet view.
type Entry struct {
	ID              EntryID        `json:"id"`
	Address         netip.AddrPort `json:"address"`
	PeerAddress     netip.AddrPort `json:"peer_address"`
	OperatorAddress netip.AddrPort `json:"operator_address,omitzero"`
	Zone            ZoneID         `json:"zone"`
	Region          RegionID       `json:"region"`
	State           InstanceState  `json:"state"`
	// Capacity is the entry's weight relative to other entries; zero if not reported.
	Capacity float64 `json:"capacity,omitempty"`
}

// Upstream is a backend server in the fleet view.
type Upstream struct {
	ID      UpstreamID     `json:"id"`
	Service ServiceName    `json:"service"`
	Address netip.AddrPort `json:"address"`
	Zone    ZoneID         `json:"zone"`
	Region  RegionID       `json:"region"`
	State   InstanceState  `json:"state"`
	// Slots is the number of requests that it handles concurrently; zero if not reported.
	Slots int `json:"slots,omitempty"`
	// Started is its start time in Unix milliseconds, which distinguishes restarts; zero if not reported.
	Started int64 `json:"started,omitempty"`
	// Sequence increases with each report since the same start.
	Sequence uint64 `json:"sequence,omitempty"`
	// Revision is the store revision of the record that lists it.
	Revision Revision `json:"revision,omitempty"`
	// ColdUntil is when the cold period ends, by the clock of this process; zero for a warm upstream.
	ColdUntil time.Time `json:"-" cbor:"-"`
}

// Site is the group of one service's upstreams in one availability zone.
type Site struct {
	Service ServiceName `json:"service"`
	Zone    ZoneID      `json:"zone"`
}

// String returns "service@zone".
func (s Site) String() string { return string(s.Service) + "@" + string(s.Zone) }

// Fleet is an immutable snapshot of all entries and upstreams.
type Fleet struct {
	// Revision increases with each new snapshot in one process.
	Revision uint64 `json:"revision"`
	// Entries are sorted by ID and include those leaving or failed.
	Entries []Entry `json:"entries"`
	// Upstreams are sorted by ID and include those leaving.
	Upstreams []Upstream `json:"upstreams"`
}

// NewFleet builds a fleet snapshot from the instance list.
func NewFleet(list InstanceList) *Fleet {
	fleet := &Fleet{Revision: uint64(list.Revision)}
	for _, instance := range list.Instances {
		if instance.Kind == InstanceEntry {
			fleet.Entries = append(fleet.Entries, entryFromInstance(instance))
			continue
		}
		fleet.Upstreams = append(fleet.Upstreams, upstreamFromInstance(instance))
	}
	slices.SortFunc(fleet.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(fleet.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return fleet
}

// Entry returns the entry with the given ID, or false if there is none.
func (f *Fleet) Entry(id EntryID) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(f.Entries, id, func(e Entry, id EntryID) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Entry{}, false
	}
	return f.Entries[i], true
}

// SiteUpstreams returns the site's upstreams sorted by ID, including those leaving.
func (f *Fleet) SiteUpstreams(site Site) []Upstream {
	var found []Upstream
	for _, u := range f.Upstreams {
		if u.Service == site.Service && u.Zone == site.Zone {
			found = append(found, u)
		}
	}
	return found
}

// ServiceSites returns the sites of the service with their regions, sorted by zone.
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

// LocatedSite is a site with its region.
type LocatedSite struct {
	Site
	Region RegionID `json:"region"`
}

// FleetSource provides the current fleet snapshot, which is never nil.
type FleetSource interface {
	Fleet() *Fleet
}

func entryFromInstance(instance Instance) Entry {
	return Entry{
		ID: EntryID(instance.ID), Address: instance.Address, PeerAddress: instance.PeerAddress,
		OperatorAddress: instance.OperatorAddress, Zone: instance.Zone, Region: instance.Region, State: instance.State,
	}
}

func upstreamFromInstance(instance Instance) Upstream {
	return Upstream{
		ID: UpstreamID(instance.ID), Service: instance.Service, Address: instance.Address,
		Zone: instance.Zone, Region: instance.Region, State: instance.State,
	}
}
