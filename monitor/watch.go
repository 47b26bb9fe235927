package monitor

import (
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxRecords bounds the table of watched entries.
	maxRecords = 256
	// collectTime bounds the collection of promises; a barred entry is not heard for so long.
	collectTime = time.Second
)

// record is what a watcher knows first hand about one entry.
type record struct {
	incarnation uint64
	started     uint64
	watchers    []eelgrassbeam.EntryID
	// last is when the latest heartbeat came.
	last time.Time
	// good counts heartbeats without a gap.
	good     int
	barred   bool
	barredAt time.Time
	held     bool
	leaving  bool
}

// suspect is an entry that has been silent for its term and the margin.
type suspect struct {
	id          eelgrassbeam.EntryID
	incarnation uint64
	watchers    []eelgrassbeam.EntryID
	last        time.Time
	// held tells that the entry has held its term in the incarnation; one that has not may have moved on untold.
	held bool
}

// quorum is the number of watchers that must call the entry silent: more than half, so both of two.
func (s suspect) quorum() int { return len(s.watchers)/2 + 1 }

// watchTable is the receiver's side of the heartbeats.
type watchTable struct {
	self eelgrassbeam.EntryID
	// silence is the term and the margin.
	silence time.Duration
	records map[eelgrassbeam.EntryID]*record
}

func newWatchTable(self eelgrassbeam.EntryID, silence time.Duration) *watchTable {
	return &watchTable{self: self, silence: silence, records: make(map[eelgrassbeam.EntryID]*record)}
}

// heartbeat records the message and answers it.
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
	case known.incarnation < message.Started && !known.barred && !known.leaving && now.Sub(known.last) <= w.silence:
		return ack{Result: ackWait, Known: known.incarnation}
	case known.barred && now.Sub(known.barredAt) < collectTime:
		return ack{Result: ackWait, Known: known.incarnation}
	}
	w.take(known, message, now)
	return ack{Result: ackOK, Known: known.incarnation}
}

func (w *watchTable) take(known *record, message heartbeat, now time.Time) {
	if message.Incarnation > known.incarnation {
		known.watchers, known.barred, known.held = message.Watchers, false, false
	}
	if now.Sub(known.last) > w.silence {
		known.good = 0
	}
	known.good++
	known.incarnation, known.started, known.last, known.leaving = message.Incarnation, message.Started, now, message.Leaving
	known.held = known.held || message.Held
}

// silent returns the watched entries that are silent, sorted by ID.
func (w *watchTable) silent(now time.Time) []suspect {
	var found []suspect
	for id, known := range w.records {
		isLong := now.Sub(known.last) > missingSilences*w.silence
		if w.isSilent(known, now) && (known.held || isLong) {
			found = append(found, suspect{id: id, incarnation: known.incarnation, watchers: known.watchers, last: known.last, held: known.held})
		}
	}
	slices.SortFunc(found, func(a, b suspect) int { return compare(a.id, b.id) })
	return found
}

func (w *watchTable) isSilent(known *record, now time.Time) bool {
	return now.Sub(known.last) > w.silence && !known.leaving && slices.Contains(known.watchers, w.self)
}

// promise bars the incarnation if it is silent here too. A barred incarnation is never acknowledged again.
func (w *watchTable) promise(id eelgrassbeam.EntryID, incarnation uint64, now time.Time) bool {
	known, ok := w.records[id]
	if !ok || known.incarnation != incarnation || !w.isSilent(known, now) {
		return false
	}
	if !known.barred {
		known.barred, known.barredAt = true, now
	}
	return true
}

// forgive restarts all silences after this process itself has stood still, and forgets the entries if it did for long.
func (w *watchTable) forgive(now time.Time, stall time.Duration) {
	for id, known := range w.records {
		switch {
		case known.barred:
		case stall > w.silence:
			delete(w.records, id)
		default:
			known.last = now
		}
	}
}

// prune drops entries that have been silent for long.
func (w *watchTable) prune(now time.Time, after time.Duration) {
	for id, known := range w.records {
		if now.Sub(known.last) > after {
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
