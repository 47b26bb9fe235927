package monitor

import (
	"time"

	"github.com/sirupsen/logrus"
)

// viewInterval is the minimum time between publications of the fleet snapshot, which limits their cost while many
// entries change.
const viewInterval = 200 * time.Millisecond

// announce merges states that this entry has detected and queues them for gossip. The caller holds the mutex.
func (m *Monitor) announce(states ...EntryState) {
	fresh := m.view.merge(states, m.config.Clock.Now())
	if len(fresh) == 0 {
		return
	}
	m.pending.States = append(m.pending.States, fresh...)
	m.logStates(fresh, "found")
	m.scheduleRebuild()
	m.signalChanges()
}

// scheduleRebuild publishes a new fleet snapshot, or leaves that to a later check if one was published within
// viewInterval. The caller holds the mutex.
func (m *Monitor) scheduleRebuild() {
	now := m.config.Clock.Now()
	m.rebuildPending = now.Sub(m.rebuiltAt) < viewInterval
	if !m.rebuildPending {
		m.rebuild()
		m.rebuiltAt = now
	}
}

// rebuild publishes a new fleet snapshot and computes the watch plan. The caller holds the mutex, except in New.
func (m *Monitor) rebuild() {
	revision := uint64(1)
	if old := m.fleet.Load(); old != nil {
		revision = old.Revision + 1
	}
	fleet := m.view.fleet(revision)
	m.fleet.Store(fleet)
	live := m.view.ranked(fleet)
	m.plan = newWatchPlan(live)
	m.expected = m.plan.watchedBy(m.config.Self.ID)
	m.watchers = m.plan.watchersOf(m.config.Self.ID)
	m.metrics.revision.Set(float64(revision))
	m.metrics.live.Set(float64(len(live)))
}

func (m *Monitor) signalChanges() {
	select {
	case m.changesReady <- struct{}{}:
	default:
	}
}

func (m *Monitor) logStates(states []EntryState, source string) {
	for _, state := range states {
		m.metrics.changes.WithLabelValues(string(state.State)).Inc()
		m.config.Log.WithFields(logrus.Fields{
			"event": "entry_state", "entry": string(state.ID), "state": string(state.State),
			"incarnation": state.Incarnation, "flaps": state.Flaps, "how": source,
		}).Info("")
	}
}
