package granter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minAskPause is the least time between questions about one site.
	minAskPause = 5 * time.Millisecond
	// maxAskPause is the time between questions to a site that gives nothing.
	maxAskPause = 500 * time.Millisecond
	// missMemory is how long a rank that got no credit goes before others.
	missMemory = 50 * time.Millisecond
	// turns is the number of credits of which one goes to the least urgent rank that wants it, the others to the most urgent.
	turns = 4
)

// account keeps an entry's credits for one site; it does not lock.
type account struct {
	// grants are in order of arrival.
	grants []grant
	// seen holds the grants that were credited, until they expire, so that a repeated answer adds nothing.
	seen []grant
	// demand counts the requests for credits since the last question.
	demand int
	// taken counts the credits that were used; missed holds when each rank last got none.
	taken  int
	missed [eelgrassbeam.RankCount]time.Time
	asking bool
	// next is the earliest time of the next question; pause is the time between questions.
	next  time.Time
	pause time.Duration
}

// take uses one credit and returns its grant.
func (a *account) take(rank eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	a.demand++
	for len(a.grants) > 0 && a.isNext(rank.Index(), now) {
		g := &a.grants[0]
		if g.credits > 0 && now.Before(g.expires) {
			g.credits--
			a.taken++
			return g.id, true
		}
		a.grants = a.grants[1:]
	}
	a.missed[rank.Index()] = now
	return 0, false
}

// isNext tells whether no other rank that got none goes first.
func (a *account) isNext(rank int, now time.Time) bool {
	first := a.missed[:rank]
	if a.taken%turns == turns-1 {
		first = a.missed[rank+1:]
	}
	for _, missed := range first {
		if now.Sub(missed) < missMemory {
			return false
		}
	}
	return true
}

// due returns how many credits to ask for now, 0 for none.
func (a *account) due(now time.Time) int {
	if a.asking || a.demand == 0 || now.Before(a.next) {
		return 0
	}
	return min(a.demand, maxCredits)
}

// ask begins a question.
func (a *account) ask(now time.Time) {
	a.asking, a.demand = true, 0
	a.next = now.Add(max(a.pause, minAskPause))
}

// credit takes an answer to a question that was asked at the given time. A late or repeated one adds nothing.
func (a *account) credit(answer Answer, asked, now time.Time) (added bool) {
	live := a.seen[:0]
	for _, g := range a.seen {
		if now.Before(g.expires) {
			live = append(live, g)
		}
	}
	a.seen = live
	expires := asked.Add(answer.Term.Duration)
	if answer.Credits == 0 || !now.Before(expires) {
		return false
	}
	for _, g := range a.seen {
		if g.id == answer.Grant {
			return false
		}
	}
	g := grant{id: answer.Grant, credits: answer.Credits, expires: expires}
	a.seen, a.grants = append(a.seen, g), append(a.grants, g)
	return true
}

// finish ends a question; the pause grows while nothing is given.
func (a *account) finish(added bool, now time.Time) {
	a.asking = false
	if added {
		a.pause = minAskPause
	} else {
		a.pause = min(2*max(a.pause, minAskPause), maxAskPause)
	}
	a.next = now.Add(a.pause)
}

// isIdle tells whether nothing is held or wanted.
func (a *account) isIdle(now time.Time) bool {
	if a.asking || now.Sub(a.next) < Term {
		return false
	}
	for _, g := range a.grants {
		if g.credits > 0 && now.Before(g.expires) {
			return false
		}
	}
	return true
}
