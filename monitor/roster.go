package monitor

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// ErrDeltaMismatch is returned for a delta whose base is not the current roster, or that does not lead to its digest.
var ErrDeltaMismatch = errors.New("roster delta does not apply to the current roster")

// Roster is one version of the platform's instance list.
type Roster struct {
	// Revision is the platform's revision. Lists of the same revision may differ; Digest distinguishes them.
	Revision  eelgrassbeam.Revision `json:"revision"`
	Digest    uint64                `json:"digest"`
	instances map[string]eelgrassbeam.Instance
}

// RosterDelta contains the changes from one roster to a later one.
type RosterDelta struct {
	// Base is the digest of the roster to which the delta applies; zero for the empty roster.
	Base     uint64                  `json:"base"`
	Revision eelgrassbeam.Revision   `json:"revision"`
	Digest   uint64                  `json:"digest"`
	Changed  []eelgrassbeam.Instance `json:"changed,omitempty"`
	Removed  []string                `json:"removed,omitempty"`
}

// newRoster returns the roster of the list without its invalid instances.
func newRoster(list eelgrassbeam.InstanceList) *Roster {
	instances := make(map[string]eelgrassbeam.Instance, len(list.Instances))
	for _, instance := range list.Instances {
		if instance.Validate() == nil {
			instances[instance.ID] = instance
		}
	}
	return buildRoster(list.Revision, instances)
}

func buildRoster(revision eelgrassbeam.Revision, instances map[string]eelgrassbeam.Instance) *Roster {
	roster := &Roster{Revision: revision, instances: instances}
	for _, instance := range instances {
		roster.Digest ^= digestInstance(instance)
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
	for _, id := range slices.Sorted(maps.Keys(r.instances)) {
		list.Instances = append(list.Instances, r.instances[id])
	}
	return list
}

// isOnly reports whether the roster lists no entry other than the given one.
func (r *Roster) isOnly(self eelgrassbeam.EntryID) bool {
	for _, instance := range r.instances {
		if instance.Kind == eelgrassbeam.InstanceEntry && instance.ID != string(self) {
			return false
		}
	}
	return true
}

// deltaTo returns the delta from r to next, sorted by ID.
func (r *Roster) deltaTo(next *Roster) RosterDelta {
	delta := RosterDelta{Base: r.Digest, Revision: next.Revision, Digest: next.Digest}
	for id, instance := range next.instances {
		if old, ok := r.instances[id]; !ok || old != instance {
			delta.Changed = append(delta.Changed, instance)
		}
	}
	for id := range r.instances {
		if _, ok := next.instances[id]; !ok {
			delta.Removed = append(delta.Removed, id)
		}
	}
	slices.SortFunc(delta.Changed, func(a, b eelgrassbeam.Instance) int { return compare(a.ID, b.ID) })
	slices.Sort(delta.Removed)
	return delta
}

// apply returns the roster that results from the delta. It returns ErrDeltaMismatch if the base is not r or if the
// digest of the result does not match.
func (r *Roster) apply(delta RosterDelta) (*Roster, error) {
	if delta.Base != r.Digest {
		return nil, ErrDeltaMismatch
	}
	instances := maps.Clone(r.instances)
	for _, id := range delta.Removed {
		delete(instances, id)
	}
	for _, instance := range delta.Changed {
		if err := instance.Validate(); err != nil {
			return nil, err
		}
		instances[instance.ID] = instance
	}
	next := buildRoster(delta.Revision, instances)
	if next.Digest != delta.Digest {
		return nil, ErrDeltaMismatch
	}
	return next, nil
}

func digestInstance(instance eelgrassbeam.Instance) uint64 {
	digest := xxhash.New()
	for _, text := range []string{
		instance.ID, string(instance.Kind), string(instance.State), string(instance.Zone), string(instance.Region), string(instance.Service),
		instance.Address.String(), instance.PeerAddress.String(), instance.OperatorAddress.String(),
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
