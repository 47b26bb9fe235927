package monitor

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	readersPerRegion   = 2
	rosterReadInterval = 2 * time.Second
)

// refreshRoster reads the platform's instance list if this entry is one of the readers of its region or has no roster
// yet. It pulls the first roster from the seeds if the platform is unavailable.
func (m *Monitor) refreshRoster(ctx context.Context) {
	isKnown := m.isRosterKnown()
	if isKnown && !m.isReader() {
		return
	}
	list, err := m.config.Store.Instances(ctx)
	if err == nil {
		if roster := newRoster(list); m.isSettled(roster) {
			m.setRoster(roster)
		}
		return
	}
	for i := 0; i < len(m.config.Seeds) && !m.isRosterKnown(); i++ {
		_ = m.Pull(ctx, m.config.Seeds[i])
	}
}

func (m *Monitor) isRosterKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.hasRoster
}

// isReader reports whether this entry is one of the readersPerRegion entries that read the platform's instance list.
func (m *Monitor) isReader() bool {
	self := m.config.Self
	readers := assigner.SortByScore("readers", assigner.LiveEntries(m.Fleet(), func(e eelgrassbeam.Entry) bool { return e.Region == self.Region }))
	for _, reader := range readers[:min(len(readers), readersPerRegion)] {
		if reader.ID == self.ID {
			return true
		}
	}
	return false
}

// setRoster takes a roster that this entry has read from the platform and queues the delta for gossip.
func (m *Monitor) setRoster(roster *Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delta := m.view.roster.deltaTo(roster)
	if !m.view.replaceRoster(roster) {
		return
	}
	m.pending.Roster = &delta
	m.scheduleRebuild()
	m.signalChanges()
}
