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
	// recoveryHeartbeats is the number of consecutive heartbeats after which a failed entry is live again. It doubles
	// with each further failure.
	recoveryHeartbeats   = 4
	maxRecoveryDoublings = 6
	// flapWindow is the time since the last state change within which a further failure increases the flap count.
	flapWindow = 10 * time.Minute
	// missingTimeouts is the number of failure timeouts after which an expected entry that never sent a heartbeat is
	// suspected.
	missingTimeouts = 3
)

// check starts votes on entries that time out and announces entries that have recovered or are leaving.
func (m *Monitor) check(ctx context.Context) {
	suspects := m.findSuspects()
	m.announceRecovered()
	var group errgroup.Group
	for _, found := range suspects {
		group.Go(func() error {
			m.collectVotes(ctx, found)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Monitor) findSuspects() []suspect {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if m.rebuildPending {
		m.scheduleRebuild()
	}
	if stall := now.Sub(m.lastTick); stall > stallIntervals*m.config.Interval {
		m.table.resetAfterStall(now, stall)
		clear(m.missing)
	}
	m.lastTick = now
	m.table.prune(now, recordTTL)
	suspects := append(m.table.findTimedOut(now), m.findMissing(now)...)
	return slices.DeleteFunc(suspects, func(s suspect) bool {
		entry, ok := m.Fleet().Entry(s.id)
		known := m.view.states[s.id]
		return !ok || entry.State != eelgrassbeam.InstanceLive || known.State == eelgrassbeam.InstanceFailed && known.Incarnation >= s.incarnation
	})
}

// findMissing returns listed entries that this one watches and that have never sent a heartbeat. The caller holds the
// mutex.
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
		if now.Sub(since) > missingTimeouts*m.table.failureTimeout {
			found = append(found, suspect{id: id, incarnation: m.view.states[id].Incarnation, watchers: m.plan.watchersOf(id)})
		}
	}
	return found
}

// collectVotes asks the other watchers to bar the suspect, and declares it failed if a quorum of the watchers agrees.
func (m *Monitor) collectVotes(ctx context.Context, found suspect) {
	timeout := min(m.config.Interval, voteTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// An entry that accepts connections and doesn't answer must leave time for the votes.
	if !found.held && m.answersProbe(ctx, found.id, timeout/2) {
		return
	}
	votes := make([]bool, len(found.watchers))
	var group errgroup.Group
	for i, id := range found.watchers {
		watcher, ok := m.Fleet().Entry(id)
		if id == m.config.Self.ID || !ok {
			continue
		}
		group.Go(func() error {
			votes[i] = m.requestVote(ctx, watcher, found)
			return nil
		})
	}
	_ = group.Wait()
	count := 0
	for _, granted := range votes {
		if granted {
			count++
		}
	}
	m.declareFailed(found, count)
}

func (m *Monitor) requestVote(ctx context.Context, watcher eelgrassbeam.Entry, found suspect) bool {
	conn, err := m.config.Pool.Conn(watcher.PeerAddress)
	if err != nil {
		return false
	}
	reply, err := peer.Call[voteReply](ctx, conn, Service, methodVote, &vote{Subject: found.id, Incarnation: found.incarnation})
	return err == nil && reply.Granted
}

// declareFailed announces the failure if this watcher and the others that granted their vote are a quorum and the entry
// still times out here. It does nothing after a stall of this process, since heartbeats may be unread.
func (m *Monitor) declareFailed(found suspect, others int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if others+1 < found.quorum() || now.Sub(m.lastTick) > stallIntervals*m.config.Interval {
		return
	}
	if !m.grantVote(found.id, found.incarnation, now) {
		return
	}
	previous, ok := m.view.states[found.id]
	failed := EntryState{ID: found.id, Incarnation: found.incarnation, State: eelgrassbeam.InstanceFailed, Flaps: 1}
	if ok && now.Sub(m.view.changedAt[found.id]) < flapWindow {
		failed.Flaps = min(previous.Flaps+1, maxRecoveryDoublings+1)
	}
	m.announce(failed)
}

// grantVote reports whether this entry agrees to declare the incarnation failed: either it has timed out here and is
// now barred, or this entry watches it, has no record of it, and has waited for a heartbeat for longer than the failure
// timeout. The caller holds the mutex.
func (m *Monitor) grantVote(id eelgrassbeam.EntryID, incarnation uint64, now time.Time) bool {
	if _, ok := m.table.records[id]; ok {
		return m.table.grantVote(id, incarnation, now)
	}
	since, ok := m.missing[id]
	return ok && now.Sub(since) > m.table.failureTimeout
}

// announceRecovered announces failed entries that have sent enough consecutive heartbeats, and entries that are
// leaving.
func (m *Monitor) announceRecovered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, record := range m.table.records {
		known, ok := m.view.states[id]
		if record.leaving {
			m.announce(EntryState{ID: id, Incarnation: record.incarnation, State: eelgrassbeam.InstanceLeaving, Flaps: known.Flaps})
			continue
		}
		isBack := ok && known.State != eelgrassbeam.InstanceLive && record.incarnation > known.Incarnation
		if isBack && !record.barred && record.consecutive >= requiredHeartbeats(known.Flaps) {
			m.announce(EntryState{ID: id, Incarnation: record.incarnation, State: eelgrassbeam.InstanceLive, Flaps: known.Flaps})
		}
	}
}

// requiredHeartbeats returns the number of consecutive heartbeats required to recover. It doubles with each failure up
// to a limit.
func requiredHeartbeats(flaps uint8) int {
	return recoveryHeartbeats << min(max(int(flaps)-1, 0), maxRecoveryDoublings)
}

// answersProbe reports whether the entry answers a probe within the timeout, or is not listed.
func (m *Monitor) answersProbe(ctx context.Context, id eelgrassbeam.EntryID, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
