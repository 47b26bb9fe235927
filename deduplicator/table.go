package deduplicator

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// state is the progress of a key at its home.
type state string

const (
	stateClaiming state = "claiming"
	stateRunning  state = "running"
	stateDone     state = "done"
)

// record is the state of a key at its home.
type record struct {
	state       state
	fingerprint uint64
	// claimedAt is when the claim was requested; zero without a claim.
	claimedAt time.Time
	// claimEra is the era of the store in which the claim was written.
	claimEra uint64
	// reply is nil while the request runs, after eviction, and if the outcome is unknown.
	reply *eelgrassbeam.Reply
	// otherHome is the home that holds the claim, if not this one; it may have the reply.
	otherHome eelgrassbeam.EntryID
	bytes     int64
	endedAt   time.Time
}

// hasNotRun reports whether the request ended without running; it may then run again under the same claim.
func (r *record) hasNotRun() bool {
	return r.state == stateDone && r.reply != nil && r.reply.Outcome == eelgrassbeam.OutcomeNotRun
}

type completion struct {
	key scopedKey
	at  time.Time
}

// table holds the recorded keys of one home.
type table struct {
	clock      eelgrassbeam.Clock
	capacity   int
	replyBytes int64

	mu          sync.Mutex
	eras        [Buckets]uint64 // the latest known era of the store
	records     map[scopedKey]*record
	completions []completion // ordered by time; may contain keys that ran again since
	evicted     int          // replies of completions[:evicted] have been evicted
	bytes       int64
}

// begin returns the existing record of the key, or adds one in state claiming and sets first. A key whose request has
// not run is reset to claiming, without its claim. ok is false if the table is full.
func (t *table) begin(key scopedKey, fingerprint uint64) (found record, first bool, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.records[key]
	switch {
	case exists && known.fingerprint == fingerprint && known.hasNotRun():
		t.bytes -= known.bytes
		known.state, known.reply, known.bytes = stateClaiming, nil, 0
		found = *known
		known.claimedAt, known.claimEra = time.Time{}, 0
		return found, true, true
	case exists:
		return *known, false, true
	case len(t.records) >= t.capacity:
		return record{}, false, false
	default:
		added := &record{state: stateClaiming, fingerprint: fingerprint}
		t.records[key] = added
		return *added, true, true
	}
}

// start marks a key as running, with the time at which its claim was requested and the era in which it was written;
// zero for no claim. It returns false, and the key stays as it is, if the store has entered a later era since.
func (t *table) start(key scopedKey, claimedAt time.Time, claimEra uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !claimedAt.IsZero() && claimEra < t.eras[bucketOf(key.key)] {
		return false
	}
	known := t.records[key]
	known.state, known.claimedAt, known.claimEra = stateRunning, claimedAt, claimEra
	return true
}

// setClaim records the claim that was written for a key after its request had started.
func (t *table) setClaim(key scopedKey, claimedAt time.Time, claimEra uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.records[key]; ok {
		known.claimedAt, known.claimEra = claimedAt, claimEra
	}
}

// remove deletes a key whose request has not run.
func (t *table) remove(key scopedKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// finish records the reply and evicts the oldest replies above the size limit; a nil reply means an unknown outcome.
func (t *table) finish(key scopedKey, reply *eelgrassbeam.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[key]
	known.state, known.endedAt = stateDone, t.clock.Now()
	t.completions = append(t.completions, completion{key: key, at: known.endedAt})
	if reply == nil {
		return
	}
	known.reply, known.bytes = reply, reply.Size()
	t.bytes += known.bytes
	for ; t.bytes > t.replyBytes && t.evicted < len(t.completions); t.evicted++ {
		t.evictReply(t.completions[t.evicted])
	}
}

// markClaimedElsewhere records that another home holds the claim for the key.
func (t *table) markClaimedElsewhere(key scopedKey, home eelgrassbeam.EntryID) {
	t.finish(key, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[key].otherHome = home
}

func (t *table) lookup(key scopedKey) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[key]
	if !ok {
		return record{}, false
	}
	return *known, true
}

// evictReply drops the reply but keeps the record that the request ran. The caller holds the mutex.
func (t *table) evictReply(old completion) {
	known, ok := t.records[old.key]
	if !ok || !known.endedAt.Equal(old.at) || known.hasNotRun() {
		return
	}
	t.bytes -= known.bytes
	known.reply, known.bytes = nil, 0
}

// expire removes keys that ended longer ago than keep and returns the number of keys left.
func (t *table) expire(keep time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for len(t.completions) > 0 && now.Sub(t.completions[0].at) > keep {
		oldest := t.completions[0]
		t.completions, t.evicted = t.completions[1:], max(t.evicted-1, 0)
		known, ok := t.records[oldest.key]
		if ok && known.endedAt.Equal(oldest.at) && known.state == stateDone {
			t.bytes -= known.bytes
			delete(t.records, oldest.key)
		}
	}
	return len(t.records)
}
