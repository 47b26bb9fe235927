package monitor

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// epoch is an incarnation of this entry with a fixed set of watchers. Unlike the incarnation of the recorder and the
// deduplicator, which identifies a run of the process, this one also increases when the watchers change or the current
// epoch has become unusable.
type epoch struct {
	incarnation uint64
	watchers    []eelgrassbeam.EntryID
	// ackedAt holds when the latest heartbeat acknowledged by each watcher was sent.
	ackedAt map[eelgrassbeam.EntryID]time.Time
	// isOnly is set if the entry is the only one in the fleet; its term then needs no watchers.
	isOnly bool
	// wasHeld is set once the term has been held in this epoch.
	wasHeld bool
}

// quorum returns the number of watchers that must acknowledge heartbeats to hold the term: two of three, otherwise
// one. It overlaps each quorum that can declare the entry failed in at least one watcher.
func (e epoch) quorum() int { return len(e.watchers) - len(e.watchers)/2 }

// expiry returns when the term granted by the acknowledgements expires; zero without a quorum.
func (e epoch) expiry(now time.Time, length time.Duration) time.Time {
	if e.isOnly {
		return now.Add(length)
	}
	var sent []time.Time
	for _, at := range e.ackedAt {
		sent = append(sent, at)
	}
	if len(sent) < e.quorum() || e.quorum() == 0 {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[e.quorum()-1].Add(length)
}

// termState is the sender's side of the heartbeats. A change of watchers starts a new epoch. The term passes to the new
// epoch only once a quorum of its watchers has acknowledged it and a quorum of the previous watchers knows it, so that
// these can no longer declare the previous epoch failed.
type termState struct {
	duration         time.Duration
	firstIncarnation uint64
	current          epoch
	// previous is the epoch last held, until a quorum of its watchers knows the current one; otherwise nil.
	previous *epoch
	// informed contains the previous watchers that know the current epoch.
	informed map[eelgrassbeam.EntryID]bool
	// needsNewEpoch is set if the current epoch expired, or a watcher barred it or lost its record of it.
	needsNewEpoch bool
	held          bool
	since         time.Time
	until         time.Time
	// previousEpochTTL is how long after its expiry the previous epoch may still be declared failed by its watchers.
	previousEpochTTL time.Duration

	// expireFromReceipt starts the term when the acknowledgement arrives, not when the heartbeat is sent; for tests
	// only.
	expireFromReceipt bool
	// skipInforming starts a new epoch without informing the previous watchers; for tests only.
	skipInforming bool
}

func newTermState(firstIncarnation uint64, duration, previousEpochTTL time.Duration) *termState {
	return &termState{duration: duration, previousEpochTTL: previousEpochTTL, firstIncarnation: firstIncarnation, current: epoch{incarnation: firstIncarnation, ackedAt: map[eelgrassbeam.EntryID]time.Time{}}}
}

// tick ends an expired term and begins a new epoch if the watchers change or the current epoch is unusable.
func (t *termState) tick(now time.Time, watchers []eelgrassbeam.EntryID, isOnly bool) {
	t.checkExpiry(now)
	isSame := slices.Equal(t.current.watchers, watchers) && t.current.isOnly == isOnly
	if (t.previous == nil || !t.held) && (t.needsNewEpoch || !isSame) {
		t.beginEpoch(watchers, isOnly)
	}
	t.update(now)
}

// checkExpiry ends an expired term; its epoch is never held again.
func (t *termState) checkExpiry(now time.Time) {
	if t.held && !now.Before(t.until) {
		t.held, t.needsNewEpoch = false, true
	}
}

func (t *termState) beginEpoch(watchers []eelgrassbeam.EntryID, isOnly bool) {
	if t.current.wasHeld && !t.skipInforming {
		previous := t.current
		t.previous = &previous
	}
	t.needsNewEpoch, t.informed = false, map[eelgrassbeam.EntryID]bool{}
	t.current = epoch{
		incarnation: t.current.incarnation + 1, watchers: append([]eelgrassbeam.EntryID{}, watchers...), isOnly: isOnly,
		ackedAt: make(map[eelgrassbeam.EntryID]time.Time),
	}
}

// acknowledge handles a watcher's acknowledgement of a heartbeat of the incarnation that was sent at the given time.
func (t *termState) acknowledge(now time.Time, from eelgrassbeam.EntryID, incarnation uint64, sent time.Time) {
	if incarnation != t.current.incarnation {
		return
	}
	if t.expireFromReceipt {
		sent = now
	}
	if slices.Contains(t.current.watchers, from) && sent.After(t.current.ackedAt[from]) {
		t.current.ackedAt[from] = sent
	}
	if t.previous != nil && slices.Contains(t.previous.watchers, from) {
		t.informed[from] = true
	}
	t.update(now)
}

// refuse handles a watcher's rejection of a heartbeat of the incarnation.
func (t *termState) refuse(from eelgrassbeam.EntryID, incarnation uint64, reply ack) {
	if incarnation != t.current.incarnation {
		return
	}
	_, hasAcked := t.current.ackedAt[from]
	switch reply.Result {
	case ackBarred:
		t.needsNewEpoch = true
	case ackUnknown:
		t.needsNewEpoch = t.needsNewEpoch || hasAcked
	}
}

// update recomputes until when the term is held.
func (t *termState) update(now time.Time) {
	t.checkExpiry(now)
	if t.needsNewEpoch && !t.held {
		return
	}
	until := t.current.expiry(now, t.duration)
	if !now.Before(until) {
		return
	}
	if !t.isPreviousSafe(now) {
		return
	}
	t.previous = nil
	if !t.held {
		t.held, t.since = true, now
	}
	t.current.wasHeld = true
	t.until = until
}

// isPreviousSafe reports whether the previous epoch can no longer be declared failed.
func (t *termState) isPreviousSafe(now time.Time) bool {
	if t.previous == nil || len(t.informed) >= t.previous.quorum() {
		return true
	}
	return !t.held && now.Sub(t.until) > t.previousEpochTTL
}

// targets returns the entries to which heartbeats are sent: the current watchers and those of the previous epoch.
func (t *termState) targets() []eelgrassbeam.EntryID {
	targets := slices.Clone(t.current.watchers)
	if t.previous == nil {
		return targets
	}
	for _, id := range t.previous.watchers {
		if !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// heartbeat returns the message to the watcher; it lists the watchers until that watcher has acknowledged the epoch.
func (t *termState) heartbeat(self, to eelgrassbeam.EntryID) heartbeat {
	message := heartbeat{From: self, Incarnation: t.current.incarnation, FirstIncarnation: t.firstIncarnation, Held: t.current.wasHeld}
	if _, ok := t.current.ackedAt[to]; !ok {
		message.Watchers = t.current.watchers
	}
	return message
}
