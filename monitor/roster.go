package monitor

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// ErrOtherBase is returned for a delta whose base is not the current roster, or that does not lead to its digest.
var ErrOtherBase = errors.New("roster delta does not apply to the current roster")

// Roster is one version of the platform's instance list.
type Roster struct {
	// Revision is the platform's revision. Lists of the same revision may differ; Digest distinguishes them.
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	rows     map[string]eelgrassbeam.Instance
}

// RosterDelta contains the changes from one roster to a later one.
type RosterDelta struct {
	// Base is the digest of the roster to which the delta applies; zero for the empty roster.
	Base     uint64                  `json:"base"`
	Revision uint64                  `json:"revision"`
	Digest   uint64                  `json:"digest"`
	Changed  []eelgrassbeam.Instance `json:"changed,omitempty"`
	Removed  []string                `json:"removed,omitempty"`
}

// newRoster returns the roster of the list without its invalid instances.
func newRoster(list eelgrassbeam.InstanceList) *Roster {
	rows := make(map[string]eelgrassbeam.Instance, len(list.Instances))
	for _, row := range list.Instances {
		if row.Validate() == nil {
			rows[row.ID] = row
		}
	}
	return buildRoster(list.Revision, rows)
}

func buildRoster(revision uint64, rows map[string]eelgrassbeam.Instance) *Roster {
	roster := &Roster{Revision: revision, rows: rows}
	for _, row := range rows {
		roster.Digest ^= digestRow(row)
	}
	return roster
}

// supersedes reports whether r replaces other. The higher digest wins between rosters of the same revision.
func (r *Roster) supersedes(other *Roster) bool {
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.Digest > other.Digest
}

// list returns the instances sorted by ID.
func (r *Roster) list() eelgrassbeam.InstanceList {
	list := eelgrassbeam.InstanceList{Revision: r.Revision}
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		list.Instances = append(list.Instances, r.rows[id])
	}
	return list
}

// isOnly reports whether the roster lists no entry other than the given one.
func (r *Roster) isOnly(self eelgrassbeam.EntryID) bool {
	for _, row := range r.rows {
		if row.Kind == eelgrassbeam.InstanceEntry && row.ID != string(self) {
			return false
		}
	}
	return true
}

// deltaTo returns the delta from r to next, sorted by ID.
func (r *Roster) deltaTo(next *Roster) RosterDelta {
	delta := RosterDelta{Base: r.Digest, Revision: next.Revision, Digest: next.Digest}
	for id, row := range next.rows {
		if old, ok := r.rows[id]; !ok || old != row {
			delta.Changed = append(delta.Changed, row)
		}
	}
	for id := range r.rows {
		if _, ok := next.rows[id]; !ok {
			delta.Removed = append(delta.Removed, id)
		}
	}
	slices.SortFunc(delta.Changed, func(a, b eelgrassbeam.Instance) int { return compare(a.ID, b.ID) })
	slices.Sort(delta.Removed)
	return delta
}

// apply returns the roster that results from the delta. It returns ErrOtherBase if the base is not r or if the digest of
// the result does not match.
func (r *Roster) apply(delta RosterDelta) (*Roster, error) {
	if delta.Base != r.Digest {
		return nil, ErrOtherBase
	}
	rows := maps.Clone(r.rows)
	for _, id := range delta.Removed {
		delete(rows, id)
	}
	for _, row := range delta.Changed {
		if err := row.Validate(); err != nil {
			return nil, err
		}
		rows[row.ID] = row
	}
	next := buildRoster(delta.Revision, rows)
	if next.Digest != delta.Digest {
		return nil, ErrOtherBase
	}
	return next, nil
}

func digestRow(row eelgrassbeam.Instance) uint64 {
	digest := xxhash.New()
	for _, text := range []string{
		row.ID, string(row.Kind), string(row.State), string(row.Zone), string(row.Region), string(row.Service),
		row.Address.String(), row.PeerAddress.String(), row.OperatorAddress.String(),
	} {
		writeText(digest, text)
	}
	return digest.Sum64()
}

func writeText(digest *xxhash.Digest, text string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(text)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(text)
}
