package granter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minAskInterval is the minimum time between credit requests for one site.
	minAskInterval = 5 * time.Millisecond
	// maxAskInterval bounds the backoff between credit requests to a site that grants none.
	maxAskInterval = 500 * time.Millisecond
	// missWindow is how long a rank that got no credit has precedence: over less urgent ranks, and for the last credit
	// of each turnCycle over more urgent ones.
	missWindow = 50 * time.Millisecond
	// turnCycle is the number of credits per cycle: the last one goes to the least urgent rank that wants it, the
	// others to the most urgent one.
	turnCycle = 4
)

// account holds an entry's credits for one site. It is not safe for concurrent use.
type account struct {
	// grants are the grants with credits left, in order of arrival.
	grants []grant
	// received holds the grants already received until they expire, so that a duplicate reply adds no credits.
	received []grant
	// demand counts the calls of take since the last credit request.
	demand int
	// taken counts the used credits; lastMiss is when each rank last got none.
	taken    int
	lastMiss [eelgrassbeam.RankCount]time.Time
	asking   bool
	// nextAsk is the earliest time of the next credit request; askInterval is the time between credit requests.
	nextAsk     time.Time
	askInterval time.Duration
}

// take uses one credit and returns the id of its grant; false if the rank gets none.
func (a *account) take(rank eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	a.demand++
	for len(a.grants) > 0 && a.mayTake(rank.Index(), now) {
		g := &a.grants[0]
		if g.credits > 0 && now.Before(g.expires) {
			g.credits--
			a.taken++
			return g.id, true
		}
		a.grants = a.grants[1:]
	}
	a.lastMiss[rank.Index()] = now
	return 0, false
}

// mayTake reports whether no other rank that recently got no credit has precedence.
func (a *account) mayTake(rank int, now time.Time) bool {
	preferred := a.lastMiss[:rank]
	if a.taken%turnCycle == turnCycle-1 {
		preferred = a.lastMiss[rank+1:]
	}
	for _, missed := range preferred {
		if now.Sub(missed) < missWindow {
			return false
		}
	}
	return true
}

// due returns the number of credits to ask for now; 0 if no credit request is due.
func (a *account) due(now time.Time) int {
	if a.asking || a.demand == 0 || now.Before(a.nextAsk) {
		return 0
	}
	return min(a.demand, maxCredits)
}

// beginAsk marks a credit request as in progress.
func (a *account) beginAsk(now time.Time) {
	a.asking, a.demand = true, 0
	a.nextAsk = now.Add(max(a.askInterval, minAskInterval))
}

// addCredits adds the credits of a reply to a credit request sent at asked. A late or duplicate reply adds none.
func (a *account) addCredits(reply CreditReply, asked, now time.Time) (added bool) {
	live := a.received[:0]
	for _, g := range a.received {
		if now.Before(g.expires) {
			live = append(live, g)
		}
	}
	a.received = live
	expires := asked.Add(reply.Term.Duration)
	if reply.Credits == 0 || !now.Before(expires) {
		return false
	}
	for _, g := range a.received {
		if g.id == reply.Grant {
			return false
		}
	}
	g := grant{id: reply.Grant, credits: reply.Credits, expires: expires}
	a.received, a.grants = append(a.received, g), append(a.grants, g)
	return true
}

// endAsk marks the credit request as ended. The interval doubles, up to maxAskInterval, while no credits are added.
func (a *account) endAsk(added bool, now time.Time) {
	a.asking = false
	if added {
		a.askInterval = minAskInterval
	} else {
		a.askInterval = min(2*max(a.askInterval, minAskInterval), maxAskInterval)
	}
	a.nextAsk = now.Add(a.askInterval)
}

// isIdle reports whether the account has no live credits and has not asked for any within the term.
func (a *account) isIdle(now time.Time) bool {
	if a.asking || now.Sub(a.nextAsk) < GrantTerm {
		return false
	}
	for _, g := range a.grants {
		if g.credits > 0 && now.Before(g.expires) {
			return false
		}
	}
	return true
}
