package monitor

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxRecords limits the number of watched entries.
	maxRecords = 256
	// voteTimeout limits the time to collect votes; new incarnations of a barred entry get ackWait for that long.
	voteTimeout = time.Second
)

// record is what a watcher has learned about one entry from its heartbeats.
type record struct {
	incarnation      uint64
	firstIncarnation uint64
	watchers         []eelgrassbeam.EntryID
	// lastHeartbeat is when the latest heartbeat arrived.
	lastHeartbeat time.Time
	// consecutive counts the heartbeats since the last failure timeout.
	consecutive int
	barred      bool
	barredAt    time.Time
	held        bool
	leaving     bool
}

// suspect is an entry from which no heartbeat has arrived within the failure timeout.
type suspect struct {
	id            eelgrassbeam.EntryID
	incarnation   uint64
	watchers      []eelgrassbeam.EntryID
	lastHeartbeat time.Time
	// held is set if the entry has held its term in this incarnation. If not, it may have begun a new epoch without
	// informing this watcher.
	held bool
}

// quorum returns the number of watchers that must agree to declare the entry failed: more than half, so both of two.
func (s suspect) quorum() int { return len(s.watchers)/2 + 1 }

// watchTable records the heartbeats of the entries that this one watches and decides which have timed out.
type watchTable struct {
	self eelgrassbeam.EntryID
	// failureTimeout is the term plus the margin.
	failureTimeout time.Duration
	records        map[eelgrassbeam.EntryID]*record
}

func newWatchTable(self eelgrassbeam.EntryID, failureTimeout time.Duration) *watchTable {
	return &watchTable{self: self, failureTimeout: failureTimeout, records: make(map[eelgrassbeam.EntryID]*record)}
}

// heartbeat records the heartbeat and returns the acknowledgement.
func (w *watchTable) heartbeat(message heartbeat, now time.Time) ack {
	known, ok := w.records[message.From]
	switch {
	case !ok && message.Watchers == nil, !ok && len(w.records) >= maxRecords:
		return ack{Result: ackUnknown}
	case !ok:
		known = &record{}
		w.records[message.From] = known
	case message.Incarnation < known.incarnation:
		return ack{Result: ackSuperseded, Known: known.incarnation}
	case message.Incarnation == known.incarnation && known.barred:
		return ack{Result: ackBarred, Known: known.incarnation}
	case message.Incarnation > known.incarnation && message.Watchers == nil:
		return ack{Result: ackUnknown, Known: known.incarnation}
	case known.incarnation < message.FirstIncarnation && !known.barred && !known.leaving && now.Sub(known.lastHeartbeat) <= w.failureTimeout:
		return ack{Result: ackWait, Known: known.incarnation}
	case known.barred && now.Sub(known.barredAt) < voteTimeout:
		return ack{Result: ackWait, Known: known.incarnation}
	}
	w.update(known, message, now)
	return ack{Result: ackOK, Known: known.incarnation}
}

func (w *watchTable) update(known *record, message heartbeat, now time.Time) {
	if message.Incarnation > known.incarnation {
		known.watchers, known.barred, known.held = message.Watchers, false, false
	}
	if now.Sub(known.lastHeartbeat) > w.failureTimeout {
		known.consecutive = 0
	}
	known.consecutive++
	known.incarnation, known.firstIncarnation, known.lastHeartbeat, known.leaving = message.Incarnation, message.FirstIncarnation, now, message.Leaving
	known.held = known.held || message.Held
}

// findTimedOut returns the watched entries whose heartbeats have timed out, sorted by ID. Entries not known to have
// held their term count only after missingTimeouts failure timeouts.
func (w *watchTable) findTimedOut(now time.Time) []suspect {
	var found []suspect
	for id, known := range w.records {
		isOverdue := now.Sub(known.lastHeartbeat) > missingTimeouts*w.failureTimeout
		if w.isTimedOut(known, now) && (known.held || isOverdue) {
			found = append(found, suspect{id: id, incarnation: known.incarnation, watchers: known.watchers, lastHeartbeat: known.lastHeartbeat, held: known.held})
		}
	}
	slices.SortFunc(found, func(a, b suspect) int { return compare(a.id, b.id) })
	return found
}

func (w *watchTable) isTimedOut(known *record, now time.Time) bool {
	return now.Sub(known.lastHeartbeat) > w.failureTimeout && !known.leaving && slices.Contains(known.watchers, w.self)
}

// grantVote bars the incarnation if it has timed out here and reports whether it is barred. A barred incarnation is
// never acknowledged again.
func (w *watchTable) grantVote(id eelgrassbeam.EntryID, incarnation uint64, now time.Time) bool {
	known, ok := w.records[id]
	if !ok || known.incarnation != incarnation || !w.isTimedOut(known, now) {
		return false
	}
	if !known.barred {
		known.barred, known.barredAt = true, now
	}
	return true
}

// resetAfterStall restarts the failure timeouts after this process has stalled. If the stall exceeded the failure
// timeout, it removes all entries that are not barred.
func (w *watchTable) resetAfterStall(now time.Time, stall time.Duration) {
	for id, known := range w.records {
		switch {
		case known.barred:
		case stall > w.failureTimeout:
			delete(w.records, id)
		default:
			known.lastHeartbeat = now
		}
	}
}

// prune removes entries without a heartbeat for longer than ttl.
func (w *watchTable) prune(now time.Time, ttl time.Duration) {
	for id, known := range w.records {
		if now.Sub(known.lastHeartbeat) > ttl {
			delete(w.records, id)
		}
	}
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
