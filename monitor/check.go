package monitor

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// goodHeartbeats bring a failed entry back after its first failure; each further failure doubles them.
	goodHeartbeats = 4
	maxDoublings   = 6
	// flapMemory is how long a failure counts towards the next one.
	flapMemory = 10 * time.Minute
	// missingSilences is after how many silences an expected entry without any heartbeat is suspected.
	missingSilences = 3
)

// check looks for silent entries and for those that are back.
func (m *Monitor) check(ctx context.Context) {
	suspects := m.findSuspects()
	m.welcome()
	var group errgroup.Group
	for _, found := range suspects {
		group.Go(func() error {
			m.collect(ctx, found)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Monitor) findSuspects() []suspect {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if m.isStale {
		m.touch()
	}
	if stall := now.Sub(m.lastTick); stall > stallIntervals*m.config.Interval {
		m.table.forgive(now, stall)
		clear(m.missing)
	}
	m.lastTick = now
	m.table.prune(now, recordLife)
	suspects := append(m.table.silent(now), m.findMissing(now)...)
	return slices.DeleteFunc(suspects, func(s suspect) bool {
		entry, ok := m.Fleet().Entry(s.id)
		known := m.view.states[s.id]
		return !ok || entry.State != eelgrassbeam.InstanceLive || known.State == eelgrassbeam.InstanceFailed && known.Incarnation >= s.incarnation
	})
}

// findMissing returns listed entries that should send heartbeats here and never have; the caller holds the mutex.
func (m *Monitor) findMissing(now time.Time) []suspect {
	for id := range m.missing {
		if _, ok := m.table.records[id]; ok || !slices.Contains(m.expected, id) {
			delete(m.missing, id)
		}
	}
	var found []suspect
	for _, id := range m.expected {
		if _, ok := m.table.records[id]; ok {
			continue
		}
		since, ok := m.missing[id]
		if !ok {
			m.missing[id] = now
			continue
		}
		if now.Sub(since) > missingSilences*m.table.silence {
			found = append(found, suspect{id: id, incarnation: m.view.states[id].Incarnation, watchers: m.plan.watchersOf(id)})
		}
	}
	return found
}

// collect asks the other watchers and announces the failure once enough of them have promised to bar the entry.
func (m *Monitor) collect(ctx context.Context, found suspect) {
	ctx, cancel := context.WithTimeout(ctx, min(m.config.Interval, collectTime))
	defer cancel()
	if !found.held && m.answersProbe(ctx, found.id) {
		return
	}
	promises := make([]bool, len(found.watchers))
	var group errgroup.Group
	for i, id := range found.watchers {
		watcher, ok := m.Fleet().Entry(id)
		if id == m.config.Self.ID || !ok {
			continue
		}
		group.Go(func() error {
			promises[i] = m.askVote(ctx, watcher, found)
			return nil
		})
	}
	_ = group.Wait()
	count := 0
	for _, promised := range promises {
		if promised {
			count++
		}
	}
	m.decide(found, count)
}

func (m *Monitor) askVote(ctx context.Context, watcher eelgrassbeam.Entry, found suspect) bool {
	conn, err := m.config.Pool.Conn(watcher.PeerAddress)
	if err != nil {
		return false
	}
	reply, err := peer.Call[voteReply](ctx, conn, Service, methodVote, &vote{Subject: found.id, Incarnation: found.incarnation})
	return err == nil && reply.Promised
}

// decide announces the failure if the quorum has promised and the entry is still silent here.
func (m *Monitor) decide(found suspect, others int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if others+1 < found.quorum() || now.Sub(m.lastTick) > stallIntervals*m.config.Interval {
		return
	}
	if !m.promise(found.id, found.incarnation, now) {
		return
	}
	previous, ok := m.view.states[found.id]
	failed := EntryState{ID: found.id, Incarnation: found.incarnation, State: eelgrassbeam.InstanceFailed, Flaps: 1}
	if ok && now.Sub(m.view.changed[found.id]) < flapMemory {
		failed.Flaps = min(previous.Flaps+1, maxDoublings+1)
	}
	m.announce(failed)
}

// promise bars the incarnation if it is silent here, or if it is expected here and has never been heard; the caller holds the mutex.
func (m *Monitor) promise(id eelgrassbeam.EntryID, incarnation uint64, now time.Time) bool {
	if _, ok := m.table.records[id]; ok {
		return m.table.promise(id, incarnation, now)
	}
	since, ok := m.missing[id]
	return ok && now.Sub(since) > m.table.silence
}

// welcome announces entries that are back after enough good heartbeats, and those that say they leave.
func (m *Monitor) welcome() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, record := range m.table.records {
		known, ok := m.view.states[id]
		if record.leaving {
			m.announce(EntryState{ID: id, Incarnation: record.incarnation, State: eelgrassbeam.InstanceLeaving, Flaps: known.Flaps})
			continue
		}
		isBack := ok && known.State != eelgrassbeam.InstanceLive && record.incarnation > known.Incarnation
		if isBack && !record.barred && record.good >= neededHeartbeats(known.Flaps) {
			m.announce(EntryState{ID: id, Incarnation: record.incarnation, State: eelgrassbeam.InstanceLive, Flaps: known.Flaps})
		}
	}
}

// neededHeartbeats doubles with each failure, up to a bound.
func neededHeartbeats(flaps uint8) int {
	return goodHeartbeats << min(max(int(flaps)-1, 0), maxDoublings)
}

func (m *Monitor) answersProbe(ctx context.Context, id eelgrassbeam.EntryID) bool {
	entry, ok := m.Fleet().Entry(id)
	if !ok {
		return true
	}
	conn, err := m.config.Pool.Conn(entry.PeerAddress)
	if err != nil {
		return false
	}
	reply, err := peer.Call[probeReply](ctx, conn, Service, methodProbe, &probe{})
	return err == nil && reply.ID == id
}
