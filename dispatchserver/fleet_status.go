package dispatchserver

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
	"github.com/eelgrassbeam/eelgrassbeam/relayer"
)

// Status implements operator.Backend. It reads the stored version from the platform and asks each zone for the
// versions in force.
func (s *Server) Status(ctx context.Context) (operator.Status, error) {
	configuration, ok := s.configHolder.Configuration()
	if !ok {
		configuration = &eelgrassbeam.Configuration{}
	}
	status := operator.Status{Reporter: s.self.ID}
	latest := configuration.ID()
	if stored, err := s.configWriter.Read(ctx); err == nil {
		status.StoreReachable = true
		if stored.Revision() > latest.Revision {
			latest = stored.ID()
		}
	}
	status.StoredVersion, status.StoredEra = latest.Revision.Counter(), latest.Revision.Era()
	inForce := s.relayer.ReportInForce(ctx, latest)
	status.InForce, status.Live = inForce.InForce, inForce.Live
	for _, missing := range inForce.Missing {
		status.Missing = append(status.Missing, s.missingEntry(missing))
	}
	fleet, now := s.monitor.Fleet(), s.config.Clock.Now()
	status.Entries = entryStatuses(fleet, configuration, inForce, now)
	sites := s.collectSiteReports(ctx, fleet)
	for _, u := range fleet.Upstreams {
		status.Upstreams = append(status.Upstreams, s.upstreamStatus(fleet, configuration, sites, u, now))
	}
	status.Zones = zoneStatuses(fleet, configuration, sites, now)
	return status, nil
}

// missingEntry describes an entry on which the stored version is not yet in force. MissingFor is the time since this
// entry put its own configuration in force, as an approximation of how long the other entry has lacked the stored
// version.
func (s *Server) missingEntry(m relayer.MissingEntry) operator.MissingEntry {
	_, since := s.configHolder.InForce()
	return operator.MissingEntry{
		Entry: m.Entry, Version: m.Version.Counter(), Era: m.Version.Era(), MissingFor: eelgrassbeam.Duration{Duration: max(0, s.config.Clock.Now().Sub(since))},
	}
}

func entryStatuses(
	fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, inForce relayer.Report, now time.Time,
) []operator.EntryStatus {
	var statuses []operator.EntryStatus
	for _, entry := range fleet.Entries {
		status := operator.EntryStatus{
			ID: entry.ID, Zone: entry.Zone, Region: entry.Region, State: entry.State,
			Drained: configuration.IsEntryDrained(entry, now), Address: entry.Address, OperatorAddress: entry.OperatorAddress,
		}
		i := slices.IndexFunc(inForce.Missing, func(m relayer.MissingEntry) bool { return m.Entry == entry.ID })
		inForceThere := eelgrassbeam.Revision(0)
		switch {
		case i >= 0:
			inForceThere = inForce.Missing[i].Version
		case entry.State == eelgrassbeam.InstanceLive:
			inForceThere = inForce.Version
		}
		status.Version, status.Era = inForceThere.Counter(), inForceThere.Era()
		statuses = append(statuses, status)
	}
	return statuses
}

func (s *Server) upstreamStatus(
	fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, sites siteReports, u eelgrassbeam.Upstream, now time.Time,
) operator.UpstreamStatus {
	owner, _ := s.assigner.Owner(fleet, eelgrassbeam.Site{Service: u.Service, Zone: u.Zone})
	status := operator.UpstreamStatus{
		ID: u.ID, Service: u.Service, Zone: u.Zone, Region: u.Region, State: u.State,
		Drained: configuration.IsUpstreamDrained(u, now), Dispatcher: owner.ID, SiteLoad: sites.upstreamLoad(u),
	}
	if s.dispatcher.IsLeaving(u.ID) {
		status.State = eelgrassbeam.InstanceLeaving
	}
	return status
}

// zoneStatuses returns the status of each zone. It counts only live entries and upstreams that are not drained.
func zoneStatuses(
	fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration, sites siteReports, now time.Time,
) []operator.ZoneStatus {
	var zones []operator.ZoneStatus
	statusOf := func(id eelgrassbeam.ZoneID, region eelgrassbeam.RegionID) *operator.ZoneStatus {
		i := slices.IndexFunc(zones, func(z operator.ZoneStatus) bool { return z.Zone == id })
		if i < 0 {
			drained := configuration.IsSiteDrained(eelgrassbeam.LocatedSite{Site: eelgrassbeam.Site{Zone: id}, Region: region}, now)
			zones = append(zones, operator.ZoneStatus{Zone: id, Region: region, Drained: drained})
			i = len(zones) - 1
		}
		return &zones[i]
	}
	for _, entry := range fleet.Entries {
		z := statusOf(entry.Zone, entry.Region)
		if entry.State == eelgrassbeam.InstanceLive && !configuration.IsEntryDrained(entry, now) {
			z.LiveEntries++
		}
	}
	for _, u := range fleet.Upstreams {
		z := statusOf(u.Zone, u.Region)
		if u.State == eelgrassbeam.InstanceLive && !configuration.IsUpstreamDrained(u, now) {
			z.LiveUpstreams++
		}
	}
	sites.addToZones(zones)
	return zones
}
