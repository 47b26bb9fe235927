package monitor

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// restoredListDelay is how long a restored store's list that contradicts the known one is not taken.
const restoredListDelay = 3 * time.Second

// listEra is the era of the last list that this entry has read, and when it was first seen.
type listEra struct {
	era   uint64
	since time.Time
}

// isSettled reports whether a list that this entry has read may replace the known one. A restored store's first lists
// may be those of its copy. Only the entries that read lists wait, so that the views of all entries stay the same.
func (m *Monitor) isSettled(roster *Roster) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, era := m.config.Clock.Now(), roster.Revision.Era()
	isContradicted := m.view.isContradictedBy(roster)
	if era != m.listEra.era {
		m.listEra = listEra{era: era, since: now}
		if isContradicted {
			m.config.Log.WithFields(logrus.Fields{"event": "instance_list_delayed", "era": era}).Warn("")
		}
	}
	return !isContradicted || now.Sub(m.listEra.since) >= restoredListDelay
}

// isContradictedBy reports whether the list of a restored store lacks live instances, lists known ones differently or
// lists some again that were removed.
func (v *view) isContradictedBy(next *Roster) bool {
	if !v.hasRoster || next.Revision.Era() <= v.roster.Revision.Era() {
		return false
	}
	for id, known := range v.roster.instances {
		listed, ok := next.instances[id]
		if ok && listed != known || !ok && v.isLive(known) {
			return true
		}
	}
	return slices.ContainsFunc(v.deltas, func(delta RosterDelta) bool {
		return slices.ContainsFunc(delta.Removed, func(id string) bool {
			_, isKnown := v.roster.instances[id]
			_, isListed := next.instances[id]
			return isListed && !isKnown
		})
	})
}

// isLive reports whether the instance is listed as live and, if it is an entry, has not been declared otherwise by its
// watchers or by itself.
func (v *view) isLive(instance eelgrassbeam.Instance) bool {
	state, ok := v.states[eelgrassbeam.EntryID(instance.ID)]
	return instance.State == eelgrassbeam.InstanceLive && (!ok || state.State == eelgrassbeam.InstanceLive)
}
