package caller

import (
	"net/netip"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Placement is an ordered list of entries with the reason for it.
type Placement struct {
	Entries []eelgrassbeam.Entry
	Region  eelgrassbeam.RegionID
	Reason  string
}

// Placer chooses the entries for a client's address.
type Placer interface {
	Place(
		fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, client netip.Addr,
		home eelgrassbeam.RegionID, now time.Time,
	) (Placement, bool)
}

// HomePlacer returns the usable entries of the home region. It is the baseline of the placers.
type HomePlacer struct{}

// Place implements Placer.
func (HomePlacer) Place(
	fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, _ netip.Addr,
	home eelgrassbeam.RegionID, now time.Time,
) (Placement, bool) {
	placement := Placement{Region: home, Reason: "home region"}
	for _, entry := range fleet.Entries {
		if entry.Region == home && entry.State == eelgrassbeam.InstanceLive && !configuration.IsEntryDrained(entry, now) {
			placement.Entries = append(placement.Entries, entry)
		}
	}
	return placement, len(placement.Entries) > 0
}
