package keeper

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// state is how far a key has come at its home.
type state string

const (
	stateClaiming state = "claiming"
	stateRunning  state = "running"
	stateDone     state = "done"
)

// record is what the home knows about a key.
type record struct {
	state       state
	fingerprint uint64
	// claimed is when the claim was asked for, zero without one.
	claimed time.Time
	// reply is nil while the request runs, and once it was dropped or its outcome is not known.
	reply *eelgrassbeam.Reply
	// home is another home that claimed the key and may know the answer.
	home  eelgrassbeam.EntryID
	bytes int64
	ended time.Time
}

// hasNotRun tells whether the request ended without running, so that it may run again under its claim.
func (r *record) hasNotRun() bool {
	return r.state == stateDone && r.reply != nil && r.reply.Outcome == eelgrassbeam.OutcomeNotRun
}

type ending struct {
	scope scope
	at    time.Time
}

// table holds the keys of one home.
type table struct {
	clock      eelgrassbeam.Clock
	capacity   int
	replyBytes int64

	mu      sync.Mutex
	records map[scope]*record
	ended   []ending // in order of time; may name records that ran again
	dropped int      // the replies of ended[:dropped] are no longer kept
	bytes   int64
}

// begin returns the key's earlier record, or adds one in state claiming. It
// returns nil where there is no room. A key that has not run starts again.
func (t *table) begin(key scope, fingerprint uint64) (found record, first bool, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.records[key]
	switch {
	case exists && known.fingerprint == fingerprint && known.hasNotRun():
		t.bytes -= known.bytes
		known.state, known.reply, known.bytes = stateClaiming, nil, 0
		return *known, true, true
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

// start marks a key as running under the claim asked for at the time, zero for none.
func (t *table) start(key scope, claimed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[key].state, t.records[key].claimed = stateRunning, claimed
}

// forget removes a key whose request has not run.
func (t *table) forget(key scope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, key)
}

// finish records how the request ended; a nil reply stands for an unknown outcome.
func (t *table) finish(key scope, reply *eelgrassbeam.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[key]
	known.state, known.ended = stateDone, t.clock.Now()
	t.ended = append(t.ended, ending{scope: key, at: known.ended})
	if reply == nil {
		return
	}
	known.reply, known.bytes = reply, reply.Size()
	t.bytes += known.bytes
	for ; t.bytes > t.replyBytes && t.dropped < len(t.ended); t.dropped++ {
		t.dropReply(t.ended[t.dropped])
	}
}

// cede records that another home claimed the key.
func (t *table) cede(key scope, home eelgrassbeam.EntryID) {
	t.finish(key, nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[key].home = home
}

// find returns what is known about the key.
func (t *table) find(key scope) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[key]
	if !ok {
		return record{}, false
	}
	return *known, true
}

// dropReply forgets the reply, not that the request ran. The caller holds the lock.
func (t *table) dropReply(old ending) {
	known, ok := t.records[old.scope]
	if !ok || !known.ended.Equal(old.at) || known.hasNotRun() {
		return
	}
	t.bytes -= known.bytes
	known.reply, known.bytes = nil, 0
}

// expire removes keys that ended longer ago than the duration.
func (t *table) expire(keep time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > keep {
		oldest := t.ended[0]
		t.ended, t.dropped = t.ended[1:], max(t.dropped-1, 0)
		known, ok := t.records[oldest.scope]
		if ok && known.ended.Equal(oldest.at) && known.state == stateDone {
			t.bytes -= known.bytes
			delete(t.records, oldest.scope)
		}
	}
	return len(t.records)
}
