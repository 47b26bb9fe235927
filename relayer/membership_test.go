package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

// fakeMembers merges states but never pulls, so that they arrive through trees only.
type fakeMembers struct {
	mu      sync.Mutex
	ready   chan struct{}
	pending monitor.MembershipChanges
	known   map[eelgrassbeam.EntryID]bool
}

func newFakeMembers() *fakeMembers {
	return &fakeMembers{ready: make(chan struct{}, 1), known: make(map[eelgrassbeam.EntryID]bool)}
}

func (m *fakeMembers) ChangesReady() <-chan struct{} { return m.ready }

func (m *fakeMembers) TakeChanges() monitor.MembershipChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = monitor.MembershipChanges{}
	return taken
}

func (m *fakeMembers) Merge(changes monitor.MembershipChanges) (monitor.MembershipChanges, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, state := range changes.States {
		m.known[state.ID] = true
	}
	return changes, nil
}

func (m *fakeMembers) Digest() monitor.Digest { return monitor.Digest{} }

func (m *fakeMembers) Pull(context.Context, netip.AddrPort) error { return nil }

func (m *fakeMembers) publish(id eelgrassbeam.EntryID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[id] = true
	m.pending.States = append(m.pending.States, monitor.EntryState{ID: id, State: eelgrassbeam.InstanceFailed})
	m.ready <- struct{}{}
}

func (m *fakeMembers) knows(id eelgrassbeam.EntryID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known[id]
}

// TestMembershipSpreadsPastDeadEntry spreads membership changes while an entry of another zone is down but still
// listed as live. Trees in which that entry is an inner node must still reach its descendants.
func TestMembershipSpreadsPastDeadEntry(t *testing.T) {
	members := make(map[eelgrassbeam.EntryID]*fakeMembers)
	c := startCluster(t, storefake.New(), 3, 3, func(r *Relayer) {
		members[r.config.Self.ID] = newFakeMembers()
		r.config.Members = members[r.config.Self.ID]
	})
	c.nodes[4].stop()
	for round := range 12 {
		id := eelgrassbeam.EntryID(fmt.Sprint("news-", round))
		members[c.nodes[0].config.Self.ID].publish(id)
		for i, n := range c.nodes {
			if i != 4 {
				waitForState(t, members[n.config.Self.ID], id)
			}
		}
	}
}

func waitForState(t *testing.T, m *fakeMembers, id eelgrassbeam.EntryID) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !m.knows(id) {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-timeout:
			t.Fatal(id, " did not arrive")
		}
	}
}
