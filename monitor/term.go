package monitor

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// epoch is one incarnation under one set of watchers.
type epoch struct {
	incarnation uint64
	watchers    []eelgrassbeam.EntryID
	// acked holds the time of sending of the latest heartbeat that each watcher acknowledged.
	acked map[eelgrassbeam.EntryID]time.Time
	// alone tells that the entry is the only one of the fleet.
	alone bool
	// wasHeld tells that the term has been held in this epoch.
	wasHeld bool
}

// quorum is the number of watchers that hold the term up: two of three, else one. It meets each quorum that calls the
// entry failed in at least one watcher.
func (e epoch) quorum() int { return len(e.watchers) - len(e.watchers)/2 }

// expiry returns when the term runs out that the acknowledgements give; zero before there is a quorum.
func (e epoch) expiry(now time.Time, length time.Duration) time.Time {
	if e.alone {
		return now.Add(length)
	}
	var sent []time.Time
	for _, at := range e.acked {
		sent = append(sent, at)
	}
	if len(sent) < e.quorum() || e.quorum() == 0 {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[e.quorum()-1].Add(length)
}

// term is the sender's side of the heartbeats. A change of watchers is a new epoch: the old term ends only once a
// quorum of the old watchers knows the new epoch, so that they never call it failed, and a quorum of the new ones holds it.
type term struct {
	length  time.Duration
	started uint64
	current epoch
	// old is the epoch last held, until enough of its watchers know the current one; nil if none is.
	old *epoch
	// moved holds the old watchers that know the current epoch.
	moved map[eelgrassbeam.EntryID]bool
	// broken tells that a watcher no longer counts, so that a new epoch is needed.
	broken bool
	held   bool
	since  time.Time
	until  time.Time
	// oldLife is how long after a lapse the old watchers may still call the old epoch failed.
	oldLife time.Duration

	// fromReceipt measures the term from the acknowledgement's arrival; tests only.
	fromReceipt bool
	// skipsHandover begins a new epoch without the old watchers; tests only.
	skipsHandover bool
}

func newTerm(started uint64, length, oldLife time.Duration) *term {
	return &term{length: length, oldLife: oldLife, started: started, current: epoch{incarnation: started, acked: map[eelgrassbeam.EntryID]time.Time{}}}
}

// tick ends a term that has run out and begins a new epoch where other watchers are wanted.
func (t *term) tick(now time.Time, watchers []eelgrassbeam.EntryID, alone bool) {
	t.lapse(now)
	isSame := slices.Equal(t.current.watchers, watchers) && t.current.alone == alone
	if (t.old == nil || !t.held) && (t.broken || !isSame) {
		t.begin(watchers, alone)
	}
	t.settle(now)
}

// lapse ends a term that has run out; its epoch is never held again.
func (t *term) lapse(now time.Time) {
	if t.held && !now.Before(t.until) {
		t.held, t.broken = false, true
	}
}

func (t *term) begin(watchers []eelgrassbeam.EntryID, alone bool) {
	if t.current.wasHeld && !t.skipsHandover {
		old := t.current
		t.old = &old
	}
	t.broken, t.moved = false, map[eelgrassbeam.EntryID]bool{}
	t.current = epoch{
		incarnation: t.current.incarnation + 1, watchers: append([]eelgrassbeam.EntryID{}, watchers...), alone: alone,
		acked: make(map[eelgrassbeam.EntryID]time.Time),
	}
}

// acknowledge takes the watcher's acknowledgement of a heartbeat sent at the given time under the incarnation.
func (t *term) acknowledge(now time.Time, from eelgrassbeam.EntryID, incarnation uint64, sent time.Time) {
	if incarnation != t.current.incarnation {
		return
	}
	if t.fromReceipt {
		sent = now
	}
	if slices.Contains(t.current.watchers, from) && sent.After(t.current.acked[from]) {
		t.current.acked[from] = sent
	}
	if t.old != nil && slices.Contains(t.old.watchers, from) {
		t.moved[from] = true
	}
	t.settle(now)
}

// refuse takes a watcher's refusal of a heartbeat sent under the incarnation.
func (t *term) refuse(from eelgrassbeam.EntryID, incarnation uint64, reply ack) {
	if incarnation != t.current.incarnation {
		return
	}
	_, hasAcked := t.current.acked[from]
	switch reply.Result {
	case ackBarred:
		t.broken = true
	case ackUnknown:
		t.broken = t.broken || hasAcked
	}
}

// settle works out until when the term is held.
func (t *term) settle(now time.Time) {
	t.lapse(now)
	if t.broken && !t.held {
		return
	}
	until := t.current.expiry(now, t.length)
	if !now.Before(until) {
		return
	}
	if !t.isHandedOver(now) {
		return
	}
	t.old = nil
	if !t.held {
		t.held, t.since = true, now
	}
	t.current.wasHeld = true
	t.until = until
}

// isHandedOver tells whether the old epoch can no longer be called failed.
func (t *term) isHandedOver(now time.Time) bool {
	if t.old == nil || len(t.moved) >= t.old.quorum() {
		return true
	}
	return !t.held && now.Sub(t.until) > t.oldLife
}

// targets returns whom heartbeats go to.
func (t *term) targets() []eelgrassbeam.EntryID {
	targets := slices.Clone(t.current.watchers)
	if t.old == nil {
		return targets
	}
	for _, id := range t.old.watchers {
		if !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// heartbeat returns the message to the watcher.
func (t *term) heartbeat(self, to eelgrassbeam.EntryID) heartbeat {
	message := heartbeat{From: self, Incarnation: t.current.incarnation, Started: t.started, Held: t.current.wasHeld}
	if _, ok := t.current.acked[to]; !ok {
		message.Watchers = t.current.watchers
	}
	return message
}
