package monitor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

// view is this entry's view of the fleet: the roster and the announced states of entries.
type view struct {
	self   eelgrassbeam.Entry
	roster *Roster
	// hasRoster is set once a roster has been read from the platform or pulled from a peer.
	hasRoster bool
	// base is the fleet of the roster, and rankedIDs its entries in the order of the plan. A roster change sets base to
	// nil, and both are then recomputed.
	base      *eelgrassbeam.Fleet
	rankedIDs []eelgrassbeam.EntryID
	// deltas are the latest deltas that lead to the current roster, oldest first.
	deltas []RosterDelta
	// wasListed is set once the platform has listed this entry; when it is no longer listed, it is leaving.
	wasListed bool
	states    map[eelgrassbeam.EntryID]EntryState
	// changedAt holds the local time at which each state last changed.
	changedAt map[eelgrassbeam.EntryID]time.Time
}

// Digest identifies the contents of a view.
type Digest struct {
	_        struct{} `cbor:",toarray"`
	Revision eelgrassbeam.Revision
	Roster   uint64
	States   uint64
}

func newView(self eelgrassbeam.Entry) *view {
	return &view{
		self: self, roster: newRoster(eelgrassbeam.InstanceList{}),
		states: make(map[eelgrassbeam.EntryID]EntryState), changedAt: make(map[eelgrassbeam.EntryID]time.Time),
	}
}

// merge applies the states that supersede known ones and returns those applied.
func (v *view) merge(states []EntryState, now time.Time) []EntryState {
	var fresh []EntryState
	for _, state := range states {
		known, ok := v.states[state.ID]
		if state.Validate() != nil || ok && !state.Supersedes(known) {
			continue
		}
		v.states[state.ID], v.changedAt[state.ID] = state, now
		fresh = append(fresh, state)
	}
	return fresh
}

// replaceRoster sets the roster if it supersedes the current one, drops the states of entries that are no longer
// listed, and reports whether the contents changed.
func (v *view) replaceRoster(roster *Roster) bool {
	if v.hasRoster && !roster.supersedes(v.roster) {
		return false
	}
	isChanged := !v.hasRoster || roster.Digest != v.roster.Digest
	v.hasRoster = true
	_, ok := roster.instances[string(v.self.ID)]
	v.wasListed = v.wasListed || ok
	if isChanged {
		v.addDelta(v.roster.deltaTo(roster))
	}
	if isChanged {
		v.base = nil
	}
	v.roster = roster
	for id := range v.states {
		if _, ok := roster.instances[string(id)]; !ok && id != v.self.ID {
			delete(v.states, id)
			delete(v.changedAt, id)
		}
	}
	return isChanged
}

// addDelta keeps the delta for peers that are a few rosters behind, up to maxDeltas. A delta of more than
// maxDeltaInstances instances clears the list, so that peers pull the whole roster.
func (v *view) addDelta(delta RosterDelta) {
	v.deltas = append(v.deltas, delta)
	if len(delta.Changed) > maxDeltaInstances {
		v.deltas = nil
	}
	if len(v.deltas) > maxDeltas {
		v.deltas = slices.Clone(v.deltas[1:])
	}
}

// deltasFrom returns the deltas from the roster with the digest to the current one; nil if they are not available.
func (v *view) deltasFrom(digest uint64) []RosterDelta {
	i := slices.IndexFunc(v.deltas, func(d RosterDelta) bool { return d.Base == digest })
	if i < 0 {
		return nil
	}
	return slices.Clone(v.deltas[i:])
}

const (
	maxDeltas         = 16
	maxDeltaInstances = 256
)

// digest covers the states of listed entries only, so that views with the same roster converge.
func (v *view) digest() Digest {
	digest := Digest{Revision: v.roster.Revision, Roster: v.roster.Digest}
	for _, state := range v.listedStates() {
		digest.States ^= digestState(state)
	}
	return digest
}

func (v *view) listedStates() []EntryState {
	var listed []EntryState
	for id, state := range v.states {
		if _, ok := v.roster.instances[string(id)]; ok {
			listed = append(listed, state)
		}
	}
	slices.SortFunc(listed, func(a, b EntryState) int { return compare(a.ID, b.ID) })
	return listed
}

// fleet returns an immutable snapshot of the view. It contains this entry even before the platform lists it.
func (v *view) fleet(revision uint64) *eelgrassbeam.Fleet {
	if v.base == nil {
		v.base = v.listedFleet()
		v.rankedIDs = entryIDs(assigner.SortByScore(ringKey, v.base.Entries))
	}
	fleet := &eelgrassbeam.Fleet{Revision: revision, Entries: slices.Clone(v.base.Entries), Upstreams: v.base.Upstreams}
	for id, state := range v.states {
		i, ok := slices.BinarySearchFunc(fleet.Entries, id, compareEntry)
		if ok && stateOrder(state.State) > stateOrder(fleet.Entries[i].State) {
			fleet.Entries[i].State = state.State
		}
	}
	return fleet
}

func (v *view) listedFleet() *eelgrassbeam.Fleet {
	fleet := eelgrassbeam.NewFleet(v.roster.list())
	i, ok := slices.BinarySearchFunc(fleet.Entries, v.self.ID, compareEntry)
	if ok {
		return fleet
	}
	fleet.Entries = slices.Insert(fleet.Entries, i, v.self)
	if v.wasListed {
		fleet.Entries[i].State = eelgrassbeam.InstanceLeaving
	}
	return fleet
}

// ranked returns the live entries and always this one, in the order of the plan.
func (v *view) ranked(fleet *eelgrassbeam.Fleet) []eelgrassbeam.Entry {
	ranked := make([]eelgrassbeam.Entry, 0, len(v.rankedIDs))
	for _, id := range v.rankedIDs {
		entry, ok := fleet.Entry(id)
		if ok && (entry.State == eelgrassbeam.InstanceLive || id == v.self.ID) {
			ranked = append(ranked, entry)
		}
	}
	return ranked
}

func compareEntry(entry eelgrassbeam.Entry, id eelgrassbeam.EntryID) int {
	return compare(entry.ID, id)
}

func entryIDs(entries []eelgrassbeam.Entry) []eelgrassbeam.EntryID {
	found := make([]eelgrassbeam.EntryID, len(entries))
	for i, entry := range entries {
		found[i] = entry.ID
	}
	return found
}

func digestState(state EntryState) uint64 {
	digest := xxhash.New()
	writeText(digest, string(state.ID))
	writeText(digest, string(state.State))
	var numbers [9]byte
	for i := range 8 {
		numbers[i] = byte(state.Incarnation >> (8 * i))
	}
	numbers[8] = state.Flaps
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}
