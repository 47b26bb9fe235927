package monitor

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	readersPerRegion = 2
	rosterInterval   = 2 * time.Second
)

// refresh reads the platform's list where this entry is one of the readers, or knows no list yet.
func (m *Monitor) refresh(ctx context.Context) {
	isKnown := m.isRosterKnown()
	if isKnown && !m.isReader() {
		return
	}
	list, err := m.config.Store.Instances(ctx)
	if err == nil {
		m.offerRoster(newRoster(list))
		return
	}
	for i := 0; i < len(m.config.Seeds) && !m.isRosterKnown(); i++ {
		_ = m.Pull(ctx, m.config.Seeds[i])
	}
}

func (m *Monitor) isRosterKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.known
}

// isReader tells whether this entry is one of the two of its region that read the platform's list.
func (m *Monitor) isReader() bool {
	self := m.config.Self
	readers := assigner.Rank("readers", assigner.Live(m.Fleet(), func(e eelgrassbeam.Entry) bool { return e.Region == self.Region }))
	for _, reader := range readers[:min(len(readers), readersPerRegion)] {
		if reader.ID == self.ID {
			return true
		}
	}
	return false
}

// offerRoster takes over a roster that this entry read itself.
func (m *Monitor) offerRoster(roster *Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delta := m.view.roster.deltaTo(roster)
	if !m.view.replaceRoster(roster) {
		return
	}
	m.pending.Roster = &delta
	m.touch()
	m.signal()
}
