package quotalimiter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// reporterTTL is how long an entry counts as one that reports. It covers two heartbeats.
	reporterTTL = 1200 * time.Millisecond
	// demandTTL is how long the demand of an entry counts that reports no requests of the team.
	demandTTL = 2 * time.Second
	// demandWeight is the weight of the newest report in an entry's demand.
	demandWeight = 0.5
	// limitLevel and openLevel are the levels of a team's tokens, as a share of their depth, below which the team is limited
	// and above which it isn't any more.
	limitLevel = 0.25
	openLevel  = 0.75
	// openDemand is the demand, as a share of the quota, above which a team stays limited. Estimates from few requests are
	// high at times.
	openDemand = 1.25
	// minPace and maxPace bound the rate of a limited team as a share of its quota: it makes up for requests beyond the
	// quota and for tokens that entries couldn't use.
	minPace = 0.25
	maxPace = 2.0
)

// keeper counts the requests of all entries that report to it, and limits the teams that are beyond their quota.
type keeper struct {
	startedAt time.Time
	// reportedAt is the time of the latest report.
	reportedAt time.Time
	reporters  map[eelgrassbeam.EntryID]time.Time
	ledgers    map[eelgrassbeam.TeamID]*ledger
}

// ledger holds one team's tokens and the demand of each entry.
type ledger struct {
	createdAt time.Time
	tokens    float64
	tokensAt  time.Time
	isLimited bool
	demands   map[eelgrassbeam.EntryID]demand
}

// demand is the rate of a team's requests at one entry.
type demand struct {
	perSecond  float64
	reportedAt time.Time
}

// current returns the rate, which is lower if no request has been reported for longer than it lets expect.
func (d demand) current(now time.Time) float64 {
	silent := max(now.Sub(d.reportedAt), reportInterval)
	return min(d.perSecond, 1/silent.Seconds()+d.perSecond*reportInterval.Seconds()/silent.Seconds())
}

func newKeeper(now time.Time) *keeper {
	return &keeper{
		startedAt: now, reporters: make(map[eelgrassbeam.EntryID]time.Time), ledgers: make(map[eelgrassbeam.TeamID]*ledger),
	}
}

// forget drops the ledgers of teams without a quota and the entries that no longer report.
func (k *keeper) forget(quotas map[eelgrassbeam.TeamID]eelgrassbeam.Quota, now time.Time) {
	for team := range k.ledgers {
		if !quotas[team].IsLimited() {
			delete(k.ledgers, team)
		}
	}
	for id, at := range k.reporters {
		if now.Sub(at) >= reporterTTL {
			delete(k.reporters, id)
		}
	}
}

// isReporter reports whether the entry counts as one that reports to this keeper. A new keeper, to which not all have
// reported yet, counts the live ones.
func (k *keeper) isReporter(id eelgrassbeam.EntryID, isLive bool, now time.Time) bool {
	return now.Sub(k.reporters[id]) < reporterTTL || isLive && now.Sub(k.startedAt) < reporterTTL
}

// record applies an entry's usage of one team and returns the rate that the entry may use, negative for no limit. quota is the
// part of the team's quota for all entries that report to this keeper; its burst includes the slack.
func (k *keeper) record(from eelgrassbeam.EntryID, usage Usage, quota eelgrassbeam.Quota, now time.Time) float64 {
	depth := max(quota.Burst, 1)
	l := k.ledgers[usage.Team]
	if l == nil {
		l = &ledger{createdAt: now, tokens: depth, tokensAt: now, demands: make(map[eelgrassbeam.EntryID]demand)}
		k.ledgers[usage.Team] = l
	}
	if usage.IsLimited && now.Sub(l.createdAt) < limitTerm { // by the keeper before this one
		l.tokens, l.isLimited = min(l.tokens, limitLevel*depth), true
	}
	l.tokens = min(depth, l.tokens+now.Sub(l.tokensAt).Seconds()*quota.PerSecond) - float64(usage.Admitted)
	l.tokensAt = now
	own := l.observe(from, usage.Arrived, now)
	total := l.total(now)
	switch {
	case l.tokens < limitLevel*depth:
		l.isLimited = true
	case l.tokens > openLevel*depth && total <= openDemand*quota.PerSecond:
		l.isLimited = false
	}
	if !l.isLimited {
		return -1
	}
	pace := min(max(0.5+2*l.tokens/depth, minPace), maxPace)
	return quota.PerSecond * pace * own / max(total, own)
}

// observe updates the demand of an entry and returns it.
func (l *ledger) observe(from eelgrassbeam.EntryID, arrived int, now time.Time) float64 {
	before := l.demands[from]
	elapsed := now.Sub(before.reportedAt)
	next := demand{reportedAt: now}
	if elapsed > demandTTL { // or the entry isn't known
		next.perSecond = float64(arrived) / demandTTL.Seconds()
	} else {
		latest := float64(arrived) / max(elapsed, limitedReportInterval/2).Seconds()
		next.perSecond = before.perSecond + demandWeight*(latest-before.perSecond)
	}
	l.demands[from] = next
	return next.perSecond
}

// total returns the demand at all entries, and forgets those that no longer report.
func (l *ledger) total(now time.Time) float64 {
	total := 0.0
	for id, each := range l.demands {
		if now.Sub(each.reportedAt) > demandTTL {
			delete(l.demands, id)
			continue
		}
		total += each.current(now)
	}
	return total
}
