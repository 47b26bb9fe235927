package granter

import (
	"math"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// CapInterval is the sliding window over which the shift cap counts requests.
	CapInterval = time.Second
	// GrantTerm is how long a grant may be used. The asking entry counts it from the time of its credit request.
	GrantTerm = time.Second
	// GrantMargin is added to the term at the granting side; it covers differences in clock rates.
	GrantMargin = 250 * time.Millisecond

	// coldRateShare is the share of its rate at which a cold site starts.
	coldRateShare = 0.1
	// firstExchangeBytes is the assumed size of an exchange before any was observed.
	firstExchangeBytes = 32 << 10
	// sizeGain is the weight of a new size in the moving average.
	sizeGain = 0.125
)

// limits are the current limits of the grants of one site.
type limits struct {
	// rate is the site's share of the shift cap, in requests per CapInterval.
	rate int
	// linkBytes is the site's share of the link budget, in bytes per CapInterval.
	linkBytes float64
	// headroom is the share of slots, 0 to 1, that requests from other regions never use.
	headroom float64
	// slowStart is the time that a cold site takes to reach its full rate.
	slowStart time.Duration
	load      eelgrassbeam.SiteLoad
}

// usable returns the number of slots that requests from other regions may use.
func (l limits) usable() int {
	return l.load.Slots - int(math.Ceil(l.headroom*float64(l.load.Slots)))
}

// verdict is the result of checking a request with a grant.
type verdict string

const (
	verdictAccepted verdict = "accepted"
	// verdictUnknown means that the grant is unknown, used up or expired.
	verdictUnknown verdict = "unknown"
	// verdictCap means that the site's share of the shift cap is used up.
	verdictCap verdict = "cap"
	// verdictLink means that the link budget is used up.
	verdictLink verdict = "link"
	// verdictBusy means that no slot is free beyond the headroom.
	verdictBusy verdict = "busy"
)

// grant is a number of credits under one id.
type grant struct {
	id      uint64
	credits int
	// expires is when the credits can no longer be used.
	expires time.Time
}

// disabledGuards selects the rules that are turned off, so that tests can show that each rule is needed.
type disabledGuards struct {
	// outstanding is the rule that granted credits that are not used yet reduce the free capacity.
	outstanding bool
	// check is the rule that a request with a live grant is checked against the current cap, link budget and load.
	check bool
	// expiry is the rule that credits can't be used after their term.
	expiry bool
	// settle is the rule that a site's share rises only some time after a change of the fleet or the configuration.
	settle bool
	// tenure is the rule that a new dispatcher grants no credits before its predecessor's grants have expired.
	tenure bool
}

// ledger accounts for the credits granted for one site. It is not safe for concurrent use.
type ledger struct {
	disabled disabledGuards
	// since is the start of the tenure: the time since which this entry dispatches for the site.
	since time.Time
	// grants are the live grants, in order of expiry.
	grants []grant
	// admitting counts requests that have spent a credit and have neither got a slot nor been refused. A queued one is
	// also counted in load.Waiting.
	admitting int
	accepted  window
	// running counts requests that have spent a credit and have not ended; sizes holds the bytes of the ended ones.
	running int
	sizes   window
	// slowStartAt is when the site's latest slow start began, lastAccepted when the last request was accepted; both are
	// zero before the first one.
	slowStartAt, lastAccepted time.Time
	meanBytes                 float64
	// latest is the latest time seen; the ledger's time never goes back.
	latest time.Time
}

func newLedger(g disabledGuards) *ledger {
	return &ledger{disabled: g, accepted: window{interval: CapInterval}, sizes: window{interval: CapInterval}, meanBytes: firstExchangeBytes}
}

// beginTenure drops the grants of an earlier tenure.
func (l *ledger) beginTenure(since time.Time) {
	if !since.Equal(l.since) {
		l.since, l.grants = since, nil
	}
}

// issue creates a grant with the id of up to want credits from the free capacity. It returns the number of credits;
// with 0 no grant is created.
func (l *ledger) issue(id uint64, want int, limits limits, now time.Time) int {
	now = l.advance(now)
	outstanding := l.outstanding()
	freeSlots := limits.usable() - limits.load.InProgress - limits.load.Waiting - l.admitting - outstanding
	rateLeft := l.rampedRate(limits, now) - l.accepted.count(now) - outstanding
	// Half of the free capacity is left for other entries.
	credits := min(want, (min(freeSlots, rateLeft, l.linkCapacity(limits, now)-outstanding)+1)/2)
	if credits <= 0 {
		return 0
	}
	l.grants = append(l.grants, grant{id: id, credits: credits, expires: now.Add(GrantTerm + GrantMargin)})
	return credits
}

// spend uses one credit of the grant and checks the request against the current limits.
func (l *ledger) spend(id uint64, limits limits, now time.Time) verdict {
	now = l.advance(now)
	if !l.useCredit(id) {
		return verdictUnknown
	}
	busy := limits.load.InProgress + limits.load.Waiting + l.admitting
	switch {
	case l.disabled.check:
	case l.accepted.count(now) >= limits.rate:
		return verdictCap
	case l.linkCapacity(limits, now) <= 0:
		return verdictLink
	case busy >= limits.usable():
		return verdictBusy
	}
	if l.slowStartAt.IsZero() || now.Sub(l.lastAccepted) > limits.slowStart {
		l.slowStartAt = now
	}
	l.lastAccepted = now
	l.accepted.add(now, 1)
	l.admitting++
	l.running++
	return verdictAccepted
}

// leftQueue notes that a request that spent a credit has got a slot or was refused.
func (l *ledger) leftQueue() { l.admitting = max(l.admitting-1, 0) }

// observe notes that a request that spent a credit has ended, and adds its bytes to the sums.
func (l *ledger) observe(bytes int64, now time.Time) {
	now = l.advance(now)
	l.running = max(l.running-1, 0)
	l.sizes.add(now, bytes)
	l.meanBytes = max(l.meanBytes+sizeGain*(float64(bytes)-l.meanBytes), 1)
}

// advance drops expired and used-up grants. It returns now, or the latest time seen if now is before it.
func (l *ledger) advance(now time.Time) time.Time {
	if now.Before(l.latest) {
		now = l.latest
	}
	l.latest = now
	live := l.grants[:0]
	for _, g := range l.grants {
		if g.credits > 0 && (l.disabled.expiry || now.Before(g.expires)) {
			live = append(live, g)
		}
	}
	l.grants = live
	return now
}

func (l *ledger) useCredit(id uint64) bool {
	for i := range l.grants {
		if l.grants[i].id == id && l.grants[i].credits > 0 {
			l.grants[i].credits--
			return true
		}
	}
	return false
}

// outstanding returns the number of credits that may still be used.
func (l *ledger) outstanding() int {
	if l.disabled.outstanding {
		return 0
	}
	total := 0
	for _, g := range l.grants {
		total += g.credits
	}
	return total
}

// linkCapacity returns how many more requests of the mean size fit into the link budget.
func (l *ledger) linkCapacity(limits limits, now time.Time) int {
	left := limits.linkBytes - float64(l.sizes.sum(now)) - float64(l.running)*l.meanBytes
	return int(max(0, min(left/l.meanBytes, maxWindowEvents)))
}

// rampedRate returns the site's current rate, which rises over the slow start because the caches of a cold site are
// empty.
func (l *ledger) rampedRate(limits limits, now time.Time) int {
	rate := limits.rate
	if rate == 0 || limits.slowStart <= 0 {
		return rate
	}
	share := coldRateShare
	if !l.slowStartAt.IsZero() && now.Sub(l.lastAccepted) <= limits.slowStart {
		share += (1 - coldRateShare) * float64(now.Sub(l.slowStartAt)) / float64(limits.slowStart)
	}
	return max(1, int(float64(rate)*min(share, 1)))
}
