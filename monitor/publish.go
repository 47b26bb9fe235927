package monitor

import (
	"time"

	"github.com/sirupsen/logrus"
)

// viewInterval bounds how often the view is worked out anew while many entries change.
const viewInterval = 200 * time.Millisecond

// announce takes over states that this entry found itself; the caller holds the mutex.
func (m *Monitor) announce(states ...EntryState) {
	fresh := m.view.merge(states, m.config.Clock.Now())
	if len(fresh) == 0 {
		return
	}
	m.pending.States = append(m.pending.States, fresh...)
	m.logStates(fresh, "found")
	m.touch()
	m.signal()
}

// touch publishes a new view, at most one in viewInterval; check publishes a later one. The caller holds the mutex.
func (m *Monitor) touch() {
	now := m.config.Clock.Now()
	m.isStale = now.Sub(m.rebuilt) < viewInterval
	if !m.isStale {
		m.rebuild()
		m.rebuilt = now
	}
}

// rebuild publishes a new view; the caller holds the mutex or is New.
func (m *Monitor) rebuild() {
	revision := uint64(1)
	if old := m.fleet.Load(); old != nil {
		revision = old.Revision + 1
	}
	fleet := m.view.fleet(revision)
	m.fleet.Store(fleet)
	live := m.view.ranked(fleet)
	m.plan = newPlan(live)
	m.expected = m.plan.watchedBy(m.config.Self.ID)
	m.watchers = m.plan.watchersOf(m.config.Self.ID)
	m.metrics.revision.Set(float64(revision))
	m.metrics.live.Set(float64(len(live)))
}

func (m *Monitor) signal() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

func (m *Monitor) logStates(states []EntryState, how string) {
	for _, state := range states {
		m.metrics.changes.WithLabelValues(string(state.State)).Inc()
		m.config.Log.WithFields(logrus.Fields{
			"event": "entry_state", "entry": string(state.ID), "state": string(state.State),
			"incarnation": state.Incarnation, "flaps": state.Flaps, "how": how,
		}).Info("")
	}
}
