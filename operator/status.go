package operator

import (
	"net/netip"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Status is the state of the fleet as seen by one entry.
type Status struct {
	// Reporter is the entry that compiled the status.
	Reporter eelgrassbeam.EntryID `json:"reporter"`
	// StoredVersion is the latest configuration version known to be stored, and StoredEra its era.
	StoredVersion uint64 `json:"stored_version"`
	StoredEra     uint64 `json:"stored_era,omitempty"`
	// StoreReachable reports whether the platform confirmed StoredVersion when the status was compiled.
	StoreReachable bool `json:"store_reachable"`
	// InForce is the number of live entries on which the stored version is in force, out of Live entries.
	InForce int `json:"in_force"`
	Live    int `json:"live"`
	// Missing lists the live entries on which the stored version is not in force.
	Missing   []MissingEntry   `json:"missing,omitempty"`
	Entries   []EntryStatus    `json:"entries"`
	Zones     []ZoneStatus     `json:"zones"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// MissingEntry is a live entry on which the stored version is not known to be in force.
type MissingEntry struct {
	Entry eelgrassbeam.EntryID `json:"entry"`
	// Version is the version in force on the entry and Era its era; 0 if it has none or did not answer.
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
	// MissingFor is the time since the reporter put its own configuration in force, which approximates how long the
	// entry has lacked the stored version.
	MissingFor eelgrassbeam.Duration `json:"for"`
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
	// Version is the configuration version in force on the entry and Era its era; 0 if unknown.
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
	// Lag is how long the entry has lacked the stored version; zero if not reported. No backend reports it at present.
	Lag eelgrassbeam.Duration `json:"lag,omitzero"`
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Zone    eelgrassbeam.ZoneID   `json:"zone"`
	Region  eelgrassbeam.RegionID `json:"region"`
	Drained bool                  `json:"drained,omitempty"`
	// LiveEntries and LiveUpstreams count the instances that accept new requests.
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
	// Dispatcher is the entry that assigns requests to the upstream's slots; empty if there is none.
	Dispatcher eelgrassbeam.EntryID `json:"dispatcher,omitempty"`
	eelgrassbeam.SiteLoad
}

// Confirmation counts the live entries on which a version, or a later one of its era, is in force.
type Confirmation struct {
	Version uint64                 `json:"version"`
	Era     uint64                 `json:"era,omitempty"`
	InForce int                    `json:"in_force"`
	Live    int                    `json:"live"`
	Missing []eelgrassbeam.EntryID `json:"missing,omitempty"`
}

// IsComplete reports whether the version is in force on all live entries. It is false if there are none.
func (c Confirmation) IsComplete() bool { return c.Live > 0 && c.InForce == c.Live }

// Confirmation returns on how many live entries the version, or a later one of its era, is in force. One of another era
// need not include its change.
func (s Status) Confirmation(version eelgrassbeam.Revision) Confirmation {
	confirmation := Confirmation{Version: version.Counter(), Era: version.Era()}
	for _, entry := range s.Entries {
		if entry.State != eelgrassbeam.InstanceLive {
			continue
		}
		confirmation.Live++
		if entry.Era == version.Era() && entry.Version >= version.Counter() {
			confirmation.InForce++
			continue
		}
		confirmation.Missing = append(confirmation.Missing, entry.ID)
	}
	return confirmation
}
