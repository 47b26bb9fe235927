package relayer

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// reportWorkers is the maximum number of concurrent calls for a report.
	reportWorkers = 16
	// zoneQueryAttempts is the maximum number of entries of a zone that are asked in turn for the zone's report.
	zoneQueryAttempts = 3
)

// MissingEntry is a live entry on which the version of the report is not known to be in force.
type MissingEntry struct {
	Entry eelgrassbeam.EntryID `json:"entry"`
	Zone  eelgrassbeam.ZoneID  `json:"zone"`
	// Reached reports whether the entry answered; Version and InForceFor are zero if it did not.
	Reached bool                  `json:"reached"`
	Version eelgrassbeam.Revision `json:"version"`
	// InForceFor is how long Version has been in force on the entry.
	InForceFor eelgrassbeam.Duration `json:"for"`
}

// Report counts the live entries on which a configuration, or one that descends from it, is in force.
type Report struct {
	Version eelgrassbeam.Revision `json:"version"`
	Live    int                   `json:"live"`
	InForce int                   `json:"in_force"`
	// Missing lists the other live entries, sorted by ID.
	Missing []MissingEntry `json:"missing,omitempty"`
}

// IsComplete reports whether the version is in force on all live entries. It is false if there are none.
func (r Report) IsComplete() bool { return r.Live > 0 && r.InForce == r.Live }

// merge returns the sum of both reports under the version of r.
func (r Report) merge(other Report) Report {
	r.Live += other.Live
	r.InForce += other.InForce
	r.Missing = append(slices.Clone(r.Missing), other.Missing...)
	slices.SortFunc(r.Missing, func(a, b MissingEntry) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return r
}

type versionRequest struct {
	_       struct{} `cbor:",toarray"`
	Version eelgrassbeam.ConfigurationID
}

type versionReply struct {
	_          struct{} `cbor:",toarray"`
	Version    eelgrassbeam.Revision
	InForceFor eelgrassbeam.Duration
	// IsIncluded reports whether the version asked for, or one that descends from it, is in force.
	IsIncluded bool
}

// zoneRequest asks an entry for a report on all live entries of its zone.
type zoneRequest struct {
	Version eelgrassbeam.ConfigurationID `json:"version"`
	// Digest is the digest of the IDs of the zone's live entries in the sender's view.
	Digest uint64 `json:"digest"`
	// Entries lists these entries; it is set only if the receiver's view was found to differ.
	Entries []eelgrassbeam.Entry `json:"entries,omitempty"`
}

type zoneReply struct {
	Report Report `json:"report"`
	// ViewDiffers reports that no entry was queried because the receiver's view differs from the sender's.
	ViewDiffers bool `json:"is_other_view,omitempty"`
}

// ReportInForce reports on which live entries the version is in force, through a query to one entry per zone. The zero
// version means the one in force on this entry.
func (r *Relayer) ReportInForce(ctx context.Context, version eelgrassbeam.ConfigurationID) Report {
	if version.Revision == 0 {
		version = r.inForce()
	}
	zones := make(map[eelgrassbeam.ZoneID][]eelgrassbeam.Entry)
	for _, entry := range assigner.LiveEntries(r.config.Fleet.Fleet(), nil) {
		zones[entry.Zone] = append(zones[entry.Zone], entry)
	}
	var (
		mu     sync.Mutex
		group  errgroup.Group
		report = Report{Version: version.Revision}
	)
	group.SetLimit(reportWorkers)
	for _, members := range zones {
		group.Go(func() error {
			part := r.queryZone(ctx, version, members)
			mu.Lock()
			defer mu.Unlock()
			report = report.merge(part)
			return nil
		})
	}
	_ = group.Wait()
	return report
}

// queryZone asks entries of the zone in turn for the zone's report. If none returns a report on all members, all
// members count as missing.
func (r *Relayer) queryZone(ctx context.Context, version eelgrassbeam.ConfigurationID, members []eelgrassbeam.Entry) Report {
	candidates := assigner.SortByScore("report/"+string(r.config.Self.ID), members)
	for _, candidate := range candidates[:min(len(candidates), zoneQueryAttempts)] {
		request := &zoneRequest{Version: version, Digest: digestIDs(members)}
		reply, err := call[zoneReply](ctx, r, candidate, methodZone, request)
		if err == nil && reply.ViewDiffers {
			request.Entries = members
			reply, err = call[zoneReply](ctx, r, candidate, methodZone, request)
		}
		if err == nil && reply.Report.Live == len(members) {
			return reply.Report
		}
	}
	report := Report{Version: version.Revision, Live: len(members)}
	for _, entry := range members {
		report.Missing = append(report.Missing, MissingEntry{Entry: entry.ID, Zone: entry.Zone})
	}
	return report
}

// handleZone queries each live entry of the zone for its version and returns the zone's report.
func (r *Relayer) handleZone(ctx context.Context, request *zoneRequest) (*zoneReply, error) {
	members := request.Entries
	if len(members) == 0 {
		members = r.zoneMembers(r.config.Self.Zone)
		if digestIDs(members) != request.Digest {
			return &zoneReply{ViewDiffers: true}, nil
		}
	}
	reports := make([]Report, len(members))
	var group errgroup.Group
	group.SetLimit(reportWorkers)
	for i, entry := range members {
		group.Go(func() error {
			reports[i] = r.queryEntry(ctx, request.Version, entry)
			return nil
		})
	}
	_ = group.Wait()
	report := Report{Version: request.Version.Revision}
	for _, part := range reports {
		report = report.merge(part)
	}
	return &zoneReply{Report: report}, nil
}

func (r *Relayer) queryEntry(ctx context.Context, version eelgrassbeam.ConfigurationID, entry eelgrassbeam.Entry) Report {
	report := Report{Version: version.Revision, Live: 1}
	reply, err := call[versionReply](ctx, r, entry, methodVersion, &versionRequest{Version: version})
	if err != nil {
		report.Missing = []MissingEntry{{Entry: entry.ID, Zone: entry.Zone}}
		return report
	}
	if reply.IsIncluded {
		report.InForce = 1
		return report
	}
	report.Missing = []MissingEntry{{Entry: entry.ID, Zone: entry.Zone, Reached: true, Version: reply.Version, InForceFor: reply.InForceFor}}
	return report
}

func (r *Relayer) handleVersion(_ context.Context, request *versionRequest) (*versionReply, error) {
	current, ok := r.config.ConfigHolder.Configuration()
	if !ok {
		return &versionReply{}, nil
	}
	reply := &versionReply{Version: current.Revision(), IsIncluded: current.Includes(request.Version)}
	_, since := r.config.ConfigHolder.InForce()
	reply.InForceFor.Duration = max(0, r.config.Clock.Now().Sub(since))
	return reply, nil
}

func digestIDs(entries []eelgrassbeam.Entry) uint64 {
	digest := uint64(len(entries))
	for _, entry := range entries {
		digest ^= xxhash.Sum64String(string(entry.ID))
	}
	return digest
}
