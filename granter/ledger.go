package granter

import (
	"math"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// Interval is the time over which the shift cap counts requests.
	Interval = time.Second
	// Term is how long a grant may be used, counted by the asker from the time of asking.
	Term = time.Second
	// Margin covers the difference between clocks' rates.
	Margin = 250 * time.Millisecond

	// rampFloor is the share of its rate that a cold site begins with.
	rampFloor = 0.1
	// firstExchangeBytes is the size that is assumed before an exchange was seen.
	firstExchangeBytes = 32 << 10
	// sizeWeight is the weight of a new size in the mean.
	sizeWeight = 0.125
)

// limits bound the grants of one site at one moment.
type limits struct {
	// rate is the site's part of the shift cap, in requests an interval.
	rate int
	// linkBytes is the site's part of the link budget, in bytes an interval.
	linkBytes float64
	// headroom is the share of slots that shifted work never takes.
	headroom float64
	// slowStart is how long a cold site takes to reach its rate.
	slowStart time.Duration
	load      eelgrassbeam.SiteLoad
}

// usable returns the slots that shifted work may take.
func (l limits) usable() int {
	return l.load.Slots - int(math.Ceil(l.headroom*float64(l.load.Slots)))
}

// verdict is why a request under a grant is accepted or refused.
type verdict string

const (
	verdictAccepted verdict = "accepted"
	// verdictUnknown says that the grant is unknown, spent or expired.
	verdictUnknown verdict = "unknown"
	// verdictCap says that the present cap is used up.
	verdictCap verdict = "cap"
	// verdictLink says that the link budget is used up.
	verdictLink verdict = "link"
	// verdictBusy says that no slot is free beyond the headroom.
	verdictBusy verdict = "busy"
)

// grant is credits under one id.
type grant struct {
	id      uint64
	credits int
	// expires is when the credits surely can't be used any more.
	expires time.Time
}

// guards hold the off switches of the rules that tests prove.
type guards struct {
	// noOutstanding leaves credits that were given but not used out of the sums.
	noOutstanding bool
	// noCheck accepts each request under a live grant, whatever the cap and the load are now.
	noCheck bool
	// noExpiry lets credits be used after their term.
	noExpiry bool
	// noSettle lets a site's share rise as soon as the view changes.
	noSettle bool
	// noTenure lets a new dispatcher give before the terms of its predecessor's grants have run out.
	noTenure bool
}

// ledger keeps the credits of one site; it does not lock.
type ledger struct {
	guards guards
	// since is when the dispatcher's tenure began.
	since time.Time
	// grants are live, in order of expiry.
	grants []grant
	// arriving counts requests that have spent a credit and are not in the load yet.
	arriving int
	accepted window
	// running counts requests that have spent a credit and have not ended; sizes holds the bytes of those that have.
	running int
	sizes   window
	// warm is since when shifted work has come, last when it came last; zero for a cold site.
	warm, last time.Time
	meanBytes  float64
	now        time.Time
}

func newLedger(g guards) *ledger {
	return &ledger{guards: g, accepted: window{interval: Interval}, sizes: window{interval: Interval}, meanBytes: firstExchangeBytes}
}

// begin withdraws the grants of an earlier tenure.
func (l *ledger) begin(since time.Time) {
	if !since.Equal(l.since) {
		l.since, l.grants = since, nil
	}
}

// give takes at most want credits out of what is free and returns them under the id; 0 for none.
func (l *ledger) give(id uint64, want int, limits limits, now time.Time) int {
	now = l.advance(now)
	outstanding := l.outstanding()
	slots := limits.usable() - limits.load.InProgress - limits.load.Waiting - l.arriving - outstanding
	room := l.ramped(limits, now) - l.accepted.count(now) - outstanding
	// Half of what is free is left to other askers.
	credits := min(want, (min(slots, room, l.linkRoom(limits, now)-outstanding)+1)/2)
	if credits <= 0 {
		return 0
	}
	l.grants = append(l.grants, grant{id: id, credits: credits, expires: now.Add(Term + Margin)})
	return credits
}

// spend uses one credit of the grant.
func (l *ledger) spend(id uint64, limits limits, now time.Time) verdict {
	now = l.advance(now)
	if !l.take(id) {
		return verdictUnknown
	}
	busy := limits.load.InProgress + limits.load.Waiting + l.arriving
	switch {
	case l.guards.noCheck:
	case l.accepted.count(now) >= limits.rate:
		return verdictCap
	case l.linkRoom(limits, now) <= 0:
		return verdictLink
	case busy >= limits.usable():
		return verdictBusy
	}
	if l.warm.IsZero() || now.Sub(l.last) > limits.slowStart {
		l.warm = now
	}
	l.last = now
	l.accepted.add(now, 1)
	l.arriving++
	l.running++
	return verdictAccepted
}

// admitted ends the count of a spent credit as arriving.
func (l *ledger) admitted() { l.arriving = max(l.arriving-1, 0) }

// observe ends a request that has spent a credit and takes its bytes.
func (l *ledger) observe(bytes int64, now time.Time) {
	now = l.advance(now)
	l.running = max(l.running-1, 0)
	l.sizes.add(now, bytes)
	l.meanBytes = max(l.meanBytes+sizeWeight*(float64(bytes)-l.meanBytes), 1)
}

// advance drops grants that have expired; time never falls.
func (l *ledger) advance(now time.Time) time.Time {
	if now.Before(l.now) {
		now = l.now
	}
	l.now = now
	live := l.grants[:0]
	for _, g := range l.grants {
		if g.credits > 0 && (l.guards.noExpiry || now.Before(g.expires)) {
			live = append(live, g)
		}
	}
	l.grants = live
	return now
}

func (l *ledger) take(id uint64) bool {
	for i := range l.grants {
		if l.grants[i].id == id && l.grants[i].credits > 0 {
			l.grants[i].credits--
			return true
		}
	}
	return false
}

// outstanding counts the credits that may still be used.
func (l *ledger) outstanding() int {
	if l.guards.noOutstanding {
		return 0
	}
	total := 0
	for _, g := range l.grants {
		total += g.credits
	}
	return total
}

// linkRoom returns how many more requests the link budget allows, if they are of the mean size.
func (l *ledger) linkRoom(limits limits, now time.Time) int {
	left := limits.linkBytes - float64(l.sizes.sum(now)) - float64(l.running)*l.meanBytes
	return int(max(0, min(left/l.meanBytes, maxWindow)))
}

// ramped returns the rate that a site with cold caches may be given now.
func (l *ledger) ramped(limits limits, now time.Time) int {
	rate := limits.rate
	if rate == 0 || limits.slowStart <= 0 {
		return rate
	}
	part := rampFloor
	if !l.warm.IsZero() && now.Sub(l.last) <= limits.slowStart {
		part += (1 - rampFloor) * float64(now.Sub(l.warm)) / float64(limits.slowStart)
	}
	return max(1, int(float64(rate)*min(part, 1)))
}
