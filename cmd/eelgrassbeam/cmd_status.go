package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

// status prints the state of the fleet as one entry sees it.
var status = command{
	name:        "status",
	description: "show versions in force, entries, zones and upstreams",
	action: func(ctx context.Context, s *session, _ []string) error {
		current, err := s.status(ctx)
		if err != nil {
			return err
		}
		if s.options.output == outputJSON {
			return s.printJSON(current)
		}
		for _, rows := range [][]string{
			versionRows(current), entryRows(current.Entries), zoneRows(current.Zones), upstreamRows(current.Upstreams),
		} {
			if err := s.printTable(rows); err != nil {
				return err
			}
		}
		return nil
	},
}

func versionRows(current operator.Status) []string {
	line := fmt.Sprintf("version %s stored, in force on %d of %d entries (seen by %s)",
		eelgrassbeam.NewRevision(current.StoredEra, current.StoredVersion), current.InForce, current.Live, current.Reporter)
	if !current.StoreReachable {
		line += "; the platform does not answer, so a later version may be stored"
	}
	rows := []string{line}
	for _, m := range current.Missing {
		rows = append(rows, fmt.Sprintf("missing on %s for %s; version there: %s (0 if unknown)", m.Entry, m.MissingFor,
			eelgrassbeam.NewRevision(m.Era, m.Version)))
	}
	return rows
}

func entryRows(entries []operator.EntryStatus) []string {
	rows := []string{"", row("ENTRY", "REGION", "ZONE", "STATE", "VERSION", "LAG", "ADDRESS", "OPERATORS")}
	for _, e := range entries {
		rows = append(rows, row(e.ID, e.Region, e.Zone, stateCell(e.State, e.Drained), eelgrassbeam.NewRevision(e.Era, e.Version), e.Lag,
			addressCell(e.Address), addressCell(e.OperatorAddress)))
	}
	return rows
}

func zoneRows(zones []operator.ZoneStatus) []string {
	rows := []string{"", row("ZONE", "REGION", "DRAINED", "ENTRIES", "UPSTREAMS", "SLOTS", "IN PROGRESS", "WAITING")}
	for _, z := range zones {
		rows = append(rows, row(z.Zone, z.Region, z.Drained, z.LiveEntries, z.LiveUpstreams, z.Slots, z.InProgress, z.Waiting))
	}
	return rows
}

func upstreamRows(upstreams []operator.UpstreamStatus) []string {
	rows := []string{"", row("UPSTREAM", "SERVICE", "REGION", "ZONE", "STATE", "DISPATCHER", "SLOTS", "IN PROGRESS", "WAITING")}
	for _, u := range upstreams {
		rows = append(rows, row(u.ID, u.Service, u.Region, u.Zone, stateCell(u.State, u.Drained), u.Dispatcher,
			u.Slots, u.InProgress, u.Waiting))
	}
	return rows
}

func stateCell(s eelgrassbeam.InstanceState, isDrained bool) string {
	if isDrained {
		return string(s) + ",drained"
	}
	return string(s)
}

func addressCell(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
