package monitor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

// view is what this entry believes about the fleet: the roster and the agreed states of entries.
type view struct {
	self   eelgrassbeam.Entry
	roster *Roster
	// known tells that a roster has been read or pulled.
	known bool
	// base is the roster's fleet, and ring its entries in the order of the plan; nil after a change of the roster.
	base *eelgrassbeam.Fleet
	ring []eelgrassbeam.EntryID
	// deltas lead to the roster, oldest first, as far as they are known.
	deltas []RosterDelta
	// isListed tells that the platform has listed this entry once; it leaves when it is listed no more.
	isListed bool
	states   map[eelgrassbeam.EntryID]EntryState
	// changed holds when each state was last changed here.
	changed map[eelgrassbeam.EntryID]time.Time
}

// Digest sums up a view in a few bytes.
type Digest struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Roster   uint64
	States   uint64
}

func newView(self eelgrassbeam.Entry) *view {
	return &view{
		self: self, roster: newRoster(eelgrassbeam.InstanceList{}),
		states: make(map[eelgrassbeam.EntryID]EntryState), changed: make(map[eelgrassbeam.EntryID]time.Time),
	}
}

// merge takes over the states that supersede those known and returns them.
func (v *view) merge(states []EntryState, now time.Time) []EntryState {
	var fresh []EntryState
	for _, state := range states {
		known, ok := v.states[state.ID]
		if state.Validate() != nil || ok && !state.Supersedes(known) {
			continue
		}
		v.states[state.ID], v.changed[state.ID] = state, now
		fresh = append(fresh, state)
	}
	return fresh
}

// replaceRoster takes over the roster if it supersedes the one known, tells whether that changes the contents, and drops the states of entries that it no longer lists.
func (v *view) replaceRoster(roster *Roster) bool {
	if v.known && !roster.supersedes(v.roster) {
		return false
	}
	isChanged := !v.known || roster.Digest != v.roster.Digest
	v.known = true
	_, ok := roster.rows[string(v.self.ID)]
	v.isListed = v.isListed || ok
	if isChanged {
		v.remember(v.roster.deltaTo(roster))
	}
	if isChanged {
		v.base = nil
	}
	v.roster = roster
	for id := range v.states {
		if _, ok := roster.rows[string(id)]; !ok && id != v.self.ID {
			delete(v.states, id)
			delete(v.changed, id)
		}
	}
	return isChanged
}

// remember keeps the latest deltas for peers that lag a little.
func (v *view) remember(delta RosterDelta) {
	v.deltas = append(v.deltas, delta)
	if len(delta.Changed) > maxDeltaRows {
		v.deltas = nil
	}
	if len(v.deltas) > maxDeltas {
		v.deltas = slices.Clone(v.deltas[1:])
	}
}

// deltasFrom returns what leads from the roster of the digest to the current one; nil where that is not known.
func (v *view) deltasFrom(digest uint64) []RosterDelta {
	i := slices.IndexFunc(v.deltas, func(d RosterDelta) bool { return d.Base == digest })
	if i < 0 {
		return nil
	}
	return slices.Clone(v.deltas[i:])
}

const (
	maxDeltas    = 16
	maxDeltaRows = 256
)

// digest covers the states of listed entries only, so that views of one roster can become equal.
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
		if _, ok := v.roster.rows[string(id)]; ok {
			listed = append(listed, state)
		}
	}
	slices.SortFunc(listed, func(a, b EntryState) int { return compare(a.ID, b.ID) })
	return listed
}

// fleet builds the immutable view; the entry itself is in it even before the platform lists it.
func (v *view) fleet(revision uint64) *eelgrassbeam.Fleet {
	if v.base == nil {
		v.base = v.listedFleet()
		v.ring = ids(assigner.Rank(ringKey, v.base.Entries))
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
	if v.isListed {
		fleet.Entries[i].State = eelgrassbeam.InstanceLeaving
	}
	return fleet
}

// ranked returns the view's live entries, with this one among them, in the order of the plan.
func (v *view) ranked(fleet *eelgrassbeam.Fleet) []eelgrassbeam.Entry {
	ranked := make([]eelgrassbeam.Entry, 0, len(v.ring))
	for _, id := range v.ring {
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

func ids(entries []eelgrassbeam.Entry) []eelgrassbeam.EntryID {
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
