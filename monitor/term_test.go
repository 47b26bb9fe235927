package monitor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	step       = 250 * time.Millisecond
	modelSteps = 120
)

// model simulates one entry and its watchers with a network that delays, loses and reorders messages, and processes
// that pause.
type model struct {
	random      *rand.Rand
	now         time.Time
	term        *termState
	tables      map[eelgrassbeam.EntryID]*watchTable
	ids         []eelgrassbeam.EntryID
	watchers    []eelgrassbeam.EntryID
	pausedUntil map[eelgrassbeam.EntryID]time.Time
	// partitionedUntil is until when messages to an entry are lost.
	partitionedUntil map[eelgrassbeam.EntryID]time.Time
	inFlight         []delivery
	// declared holds when each incarnation was first declared failed.
	declared map[uint64]time.Time
}

type delivery struct {
	at  time.Time
	to  eelgrassbeam.EntryID
	run func()
}

func newModel(t *rapid.T) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now:    time.Unix(0, 0), term: newTermState(10, DefaultTerm, previousEpochTimeouts*(DefaultTerm+DefaultMargin)), ids: []eelgrassbeam.EntryID{"a", "b", "c", "d", "e", "f"},
		tables: map[eelgrassbeam.EntryID]*watchTable{}, pausedUntil: map[eelgrassbeam.EntryID]time.Time{},
		declared: map[uint64]time.Time{}, partitionedUntil: map[eelgrassbeam.EntryID]time.Time{},
	}
	for _, id := range m.ids {
		m.tables[id] = newWatchTable(id, DefaultTerm+DefaultMargin)
	}
	m.watchers = m.ids[:3]
	return m
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

func pick[T any](m *model, choices []T) T { return choices[m.random.IntN(len(choices))] }

func (m *model) isPaused(id eelgrassbeam.EntryID) bool { return m.now.Before(m.pausedUntil[id]) }

func (m *model) send(to eelgrassbeam.EntryID, delays []int, run func()) {
	if m.now.Before(m.partitionedUntil[to]) || m.chance(8) {
		return
	}
	delay := time.Duration(pick(m, delays)) * step
	m.inFlight = append(m.inFlight, delivery{at: m.now.Add(delay), to: to, run: run})
}

func (m *model) deliver() {
	waiting := m.inFlight
	m.inFlight = nil
	for _, message := range waiting {
		if m.now.Before(message.at) || m.isPaused(message.to) {
			m.inFlight = append(m.inFlight, message)
			continue
		}
		message.run()
	}
}

func (m *model) sendHeartbeats() {
	if m.isPaused("s") {
		return
	}
	if m.chance(6) {
		m.watchers = pick(m, [][]eelgrassbeam.EntryID{m.ids[:3], m.ids[1:4], m.ids[:2], m.ids[3:]})
	}
	m.term.tick(m.now, m.watchers, false)
	for _, to := range m.term.targets() {
		message, sent := m.term.heartbeat("s", to), m.now
		m.send(to, []int{0, 0, 0, 0, 0, 1, 9}, func() {
			reply := m.tables[to].heartbeat(message, m.now)
			m.send("s", []int{0, 0, 1, 5, 7}, func() {
				if reply.Result == ackOK {
					m.term.acknowledge(m.now, to, message.Incarnation, sent)
				} else {
					m.term.refuse(to, message.Incarnation, reply)
				}
			})
		})
	}
}

func (m *model) checkTimedOut() {
	for _, id := range m.ids {
		if m.isPaused(id) {
			continue
		}
		for _, found := range m.tables[id].findTimedOut(m.now) {
			if !found.held {
				continue
			}
			votes := 0
			for _, other := range found.watchers {
				if other == id || !m.isPaused(other) && !m.chance(20) && m.tables[other].grantVote(found.id, found.incarnation, m.now) {
					votes++
				}
			}
			if votes >= found.quorum() && m.tables[id].grantVote(found.id, found.incarnation, m.now) {
				m.declare(found.incarnation)
			}
		}
	}
}

func (m *model) declare(incarnation uint64) {
	if _, ok := m.declared[incarnation]; !ok {
		m.declared[incarnation] = m.now
	}
}

// findOverlap returns an error if an incarnation was declared failed during the term that is held.
func (m *model) findOverlap() error {
	holds := m.term.held && m.now.Before(m.term.until)
	for _, at := range m.declared {
		if holds && m.term.since.Before(at) {
			return fmt.Errorf("declared failed at %v while term held from %v to %v", at.Unix(), m.term.since.Unix(), m.term.until.Unix())
		}
	}
	return nil
}

func (m *model) injectFault(until map[eelgrassbeam.EntryID]time.Time) {
	if !m.chance(6) {
		return
	}
	groups := [][]eelgrassbeam.EntryID{{"s"}, {"a"}, {"b"}, {"d"}, {"e"}, m.ids[:3], m.ids}
	end := m.now.Add(time.Duration(1+m.random.IntN(20)) * step)
	for _, id := range pick(m, groups) {
		until[id] = end
	}
}

func (m *model) run() error {
	for range modelSteps {
		m.now = m.now.Add(step)
		m.injectFault(m.pausedUntil)
		m.injectFault(m.partitionedUntil)
		m.deliver()
		m.sendHeartbeats()
		m.checkTimedOut()
		if err := m.findOverlap(); err != nil {
			return err
		}
	}
	return nil
}

func TestNoTermAcrossFailure(t *testing.T) {
	guards := map[string]func(m *model){
		"failure declared within the term": func(m *model) {
			for _, table := range m.tables {
				table.failureTimeout = DefaultTerm / 2
			}
		},
		"previous watchers not informed": func(m *model) { m.term.skipInforming = true },
	}
	t.Run("guards on", func(t *testing.T) {
		held, declared := 0, 0
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(t)
			if err := m.run(); err != nil {
				t.Fatal(err)
			}
			declared += len(m.declared)
			if m.term.held {
				held++
			}
		})
		is := is.New(t)
		is.True(held > 0)     // terms are held in the model
		is.True(declared > 0) // failures are declared in the model
	})
	for name, disable := range guards {
		t.Run(name, func(t *testing.T) {
			faults := 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t)
				disable(m)
				if m.run() != nil {
					faults++
				}
			})
			is.New(t).True(faults > 0) // with the guard off the term overlaps the failure
		})
	}
}

// TestLateAcknowledgement delays two acknowledgements by nearly a term and loses all later messages. A term counted
// from their receipt would still be held when the watcher declares the entry failed.
func TestLateAcknowledgement(t *testing.T) {
	for name, fromReceipt := range map[string]bool{"term from sending": false, "term from receipt": true} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(0, 0)
			term := newTermState(10, DefaultTerm, time.Minute)
			term.expireFromReceipt = fromReceipt
			table := newWatchTable("a", DefaultTerm+DefaultMargin)
			term.tick(start, []eelgrassbeam.EntryID{"a"}, false)
			sent := start
			for range 2 { // the second heartbeat reports the term as held
				reply := table.heartbeat(term.heartbeat("s", "a"), sent)
				is.New(t).Equal(reply.Result, ackOK)
				term.acknowledge(sent.Add(1900*time.Millisecond), "a", term.current.incarnation, sent)
				sent = sent.Add(1900 * time.Millisecond)
			}
			declaredAt := start.Add(1900*time.Millisecond + DefaultTerm + DefaultMargin + time.Millisecond)
			is := is.New(t)
			is.Equal(len(table.findTimedOut(declaredAt)), 1)
			// the term overlaps the failure only if counted from receipt
			is.Equal(declaredAt.Before(term.until), fromReceipt)
		})
	}
}
