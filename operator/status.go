package operator

import (
	"net/netip"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Status is the fleet as one entry sees it.
type Status struct {
	// Reporter is the entry that made the status.
	Reporter eelgrassbeam.EntryID `json:"reporter"`
	// StoredVersion is the highest configuration version known to be stored.
	StoredVersion uint64 `json:"stored_version"`
	// StoreReachable tells whether StoredVersion was read back from the platform just now.
	StoreReachable bool `json:"store_reachable"`
	// InForce counts live entries with the stored version in force, of Live entries.
	InForce int `json:"in_force"`
	Live    int `json:"live"`
	// Missing are the live entries without the stored version.
	Missing   []Missing        `json:"missing,omitempty"`
	Entries   []EntryStatus    `json:"entries"`
	Zones     []ZoneStatus     `json:"zones"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// Missing is a live entry that has not confirmed the stored version.
type Missing struct {
	Entry eelgrassbeam.EntryID `json:"entry"`
	// Version is the last one that the entry confirmed, 0 for none.
	Version uint64 `json:"version"`
	// For is how long the stored version has been missing there.
	For eelgrassbeam.Duration `json:"for"`
}

// EntryStatus is the state of one entry.
type EntryStatus struct {
	ID              eelgrassbeam.EntryID       `json:"id"`
	Zone            eelgrassbeam.ZoneID        `json:"zone"`
	Region          eelgrassbeam.RegionID      `json:"region"`
	State           eelgrassbeam.InstanceState `json:"state"`
	Drained         bool                       `json:"drained,omitempty"`
	Address         netip.AddrPort             `json:"address,omitzero"`
	OperatorAddress netip.AddrPort             `json:"operator_address,omitzero"`
	// Version is the configuration version in force there, 0 where unknown.
	Version uint64 `json:"version"`
	// Lag is how long the entry has been without the stored version.
	Lag eelgrassbeam.Duration `json:"lag,omitzero"`
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Zone    eelgrassbeam.ZoneID   `json:"zone"`
	Region  eelgrassbeam.RegionID `json:"region"`
	Drained bool                  `json:"drained,omitempty"`
	// LiveEntries and LiveUpstreams count instances that take new work.
	LiveEntries   int `json:"live_entries"`
	LiveUpstreams int `json:"live_upstreams"`
	eelgrassbeam.SiteLoad
}

// UpstreamStatus is the state of one upstream.
type UpstreamStatus struct {
	ID      eelgrassbeam.UpstreamID    `json:"id"`
	Service eelgrassbeam.ServiceName   `json:"service"`
	Zone    eelgrassbeam.ZoneID        `json:"zone"`
	Region  eelgrassbeam.RegionID      `json:"region"`
	State   eelgrassbeam.InstanceState `json:"state"`
	Drained bool                       `json:"drained,omitempty"`
	// Dispatcher is the entry that fills the upstream's slots, empty where none does.
	Dispatcher eelgrassbeam.EntryID `json:"dispatcher,omitempty"`
	eelgrassbeam.SiteLoad
}

// Confirmation tells on how many live entries a version, or a later one, is in force.
type Confirmation struct {
	Version uint64                 `json:"version"`
	InForce int                    `json:"in_force"`
	Live    int                    `json:"live"`
	Missing []eelgrassbeam.EntryID `json:"missing,omitempty"`
}

// IsComplete tells whether all live entries confirm; no live entry confirms nothing.
func (c Confirmation) IsComplete() bool { return c.Live > 0 && c.InForce == c.Live }

// Confirmation returns how far the version is in force.
func (s Status) Confirmation(version uint64) Confirmation {
	confirmation := Confirmation{Version: version}
	for _, entry := range s.Entries {
		if entry.State != eelgrassbeam.InstanceLive {
			continue
		}
		confirmation.Live++
		if entry.Version >= version {
			confirmation.InForce++
			continue
		}
		confirmation.Missing = append(confirmation.Missing, entry.ID)
	}
	return confirmation
}
