// Package quotalimiter keeps the requests of each team to all entries together within the team's quota. Each entry decides
// at once, and reports afterwards to one of the entries, the keeper, which limits the teams that are beyond their quota.
package quotalimiter

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	// tick is the time between checks for requests to report.
	tick = 100 * time.Millisecond
	// heartbeat is the longest time between reports of an entry. The keeper needs them to know which entries it counts for.
	heartbeat = 500 * time.Millisecond
	// callTimeout bounds a report.
	callTimeout = 500 * time.Millisecond
	// suspicion is how long a keeper that didn't answer isn't asked again.
	suspicion = 3 * time.Second
	// retention is how long a lost entry keeps its part of the quotas: it may be cut off and still serve callers.
	retention = time.Minute
	// minCapacity is the least capacity assumed for an entry, in cores.
	minCapacity = 0.1
	// slackShare is the share of the slack that adds to the bursts of teams. The rest covers requests that aren't reported yet.
	slackShare = 0.8
	// overageShare is the share of the overage that a keeper gives to its entries while others are lost.
	overageShare = 0.5
	// keeperKey is the key of the rendezvous hashing by which entries choose the keeper.
	keeperKey = "quota keeper"
)

// Usage is what an entry reports of one team since its report before.
type Usage struct {
	Team eelgrassbeam.TeamID `json:"team"`
	// Arrived counts the team's requests, Admitted those that were not rejected for the quota.
	Arrived  int `json:"arrived"`
	Admitted int `json:"admitted"`
	// IsLimited reports whether a keeper limits the team at this entry.
	IsLimited bool `json:"is_limited,omitempty"`
}

// Report is an entry's report to the keeper.
type Report struct {
	From   eelgrassbeam.EntryID `json:"from"`
	Usages []Usage              `json:"usages,omitempty"`
}

// Limit is the rate that an entry may use of a limited team's quota.
type Limit struct {
	Team      eelgrassbeam.TeamID `json:"team"`
	PerSecond float64             `json:"per_second"`
}

// Answer is the keeper's answer to a report. Reported teams that it doesn't name have no limit.
type Answer struct {
	Limits []Limit `json:"limits,omitempty"`
}

// Reporter sends a report to another entry.
type Reporter interface {
	Report(ctx context.Context, to eelgrassbeam.Entry, report Report) (Answer, error)
}

// Config configures a QuotaLimiter.
type Config struct {
	Self  eelgrassbeam.Entry
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// Entries returns the live entries, including this one.
	Entries func() []eelgrassbeam.Entry
	// Teams returns the teams of the configuration in force.
	Teams func() []eelgrassbeam.Team
	// Overage is the share by which a team may exceed its quota, Slack the number of requests by which it may do so in
	// addition, in the time over which quotas are measured. Both allow for what entries don't know of each other.
	Overage, Slack float64
	Reporter       Reporter
	Registerer     prometheus.Registerer
}

// QuotaLimiter decides on the requests of teams with a quota. It is safe for concurrent use.
type QuotaLimiter struct {
	config  Config
	metrics metrics

	mu       sync.Mutex
	accounts map[eelgrassbeam.TeamID]*account
	keeper   *keeper
	// quotas are those of the teams that have one, as of the latest tick.
	quotas map[eelgrassbeam.TeamID]eelgrassbeam.Quota
	// known are the entries seen within the retention; live are those of the latest tick.
	known map[eelgrassbeam.EntryID]knownEntry
	live  map[eelgrassbeam.EntryID]eelgrassbeam.Entry
	// suspects are the keepers that didn't answer, with the time until which they aren't asked.
	suspects   map[eelgrassbeam.EntryID]time.Time
	reportedAt time.Time
	// ownPart is this entry's part of all quotas.
	ownPart float64
	// isUnlimited admits every request; for tests only.
	isUnlimited bool
}

// knownEntry is an entry with the time at which it was live last.
type knownEntry struct {
	capacity float64
	liveAt   time.Time
}

// New returns a QuotaLimiter that knows no other entry.
func New(config Config) *QuotaLimiter {
	return &QuotaLimiter{
		config: config, metrics: newMetrics(config.Registerer), accounts: make(map[eelgrassbeam.TeamID]*account),
		known: make(map[eelgrassbeam.EntryID]knownEntry), live: make(map[eelgrassbeam.EntryID]eelgrassbeam.Entry),
		suspects: make(map[eelgrassbeam.EntryID]time.Time), ownPart: 1,
	}
}

// Admit decides on a request of the team without waiting for a message. If it returns false, it returns the time after which
// the team's next request may be admitted here.
func (q *QuotaLimiter) Admit(team *eelgrassbeam.Team) (bool, time.Duration) {
	if team == nil || !team.Quota.IsLimited() || q.isUnlimited {
		return true, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	a := q.accounts[team.ID]
	if a == nil {
		a = &account{}
		q.accounts[team.ID] = a
	}
	a.quota = team.Quota
	admitted, after := a.admit(now, q.ownPart)
	q.metrics.count(admitted)
	return admitted, after
}

// Run reports to the keeper until the context is done.
func (q *QuotaLimiter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.config.Clock.After(tick):
		}
		if to, report, isDue := q.next(); isDue {
			q.send(ctx, to, report)
		}
	}
}

// next returns the keeper and the report to send to it, if one is due.
func (q *QuotaLimiter) next() (eelgrassbeam.Entry, Report, bool) {
	quotas := quotasOf(q.config.Teams())
	var entries []eelgrassbeam.Entry
	if len(quotas) > 0 {
		entries = q.config.Entries()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	q.refresh(entries, quotas, now)
	if len(quotas) == 0 {
		return eelgrassbeam.Entry{}, Report{}, false
	}
	report := Report{From: q.config.Self.ID}
	isDue := now.Sub(q.reportedAt) >= heartbeat
	for _, a := range q.accounts {
		isDue = isDue || a.isDue(now, q.ownPart)
	}
	if !isDue {
		return eelgrassbeam.Entry{}, Report{}, false
	}
	for team, a := range q.accounts {
		if a.arrived > 0 {
			report.Usages = append(report.Usages, a.take(team, now))
		}
	}
	q.reportedAt = now
	return q.keeperEntry(now), report, true
}

// quotasOf returns the quotas of the teams that have one.
func quotasOf(teams []eelgrassbeam.Team) map[eelgrassbeam.TeamID]eelgrassbeam.Quota {
	quotas := make(map[eelgrassbeam.TeamID]eelgrassbeam.Quota)
	for i := range teams {
		if teams[i].Quota.IsLimited() {
			quotas[teams[i].ID] = teams[i].Quota
		}
	}
	return quotas
}

// refresh applies the quotas and the live entries, and forgets what neither needs. The caller must hold q.mu.
func (q *QuotaLimiter) refresh(entries []eelgrassbeam.Entry, quotas map[eelgrassbeam.TeamID]eelgrassbeam.Quota, now time.Time) {
	q.quotas = quotas
	for team := range q.accounts {
		if !quotas[team].IsLimited() {
			delete(q.accounts, team)
		}
	}
	for id, until := range q.suspects {
		if !now.Before(until) {
			delete(q.suspects, id)
		}
	}
	if q.keeper != nil {
		q.keeper.forget(quotas, now)
	}
	clear(q.live)
	for _, entry := range entries {
		q.live[entry.ID] = entry
		q.known[entry.ID] = knownEntry{capacity: max(entry.Capacity, minCapacity), liveAt: now}
	}
	for id, each := range q.known {
		if now.Sub(each.liveAt) > retention {
			delete(q.known, id)
		}
	}
	q.ownPart = q.part(q.config.Self.ID)
}

// part returns the entry's capacity as a share of that of all known entries. The caller must hold q.mu.
func (q *QuotaLimiter) part(id eelgrassbeam.EntryID) float64 {
	total := 0.0
	for _, each := range q.known {
		total += each.capacity
	}
	if total == 0 {
		return 1
	}
	return q.known[id].capacity / total
}

// keeperEntry returns the entry that all entries choose as keeper if they know the same ones. The caller must hold q.mu.
func (q *QuotaLimiter) keeperEntry(now time.Time) eelgrassbeam.Entry {
	best, bestScore := q.config.Self, 0.0
	for id, entry := range q.live {
		if now.Before(q.suspects[id]) {
			continue
		}
		score := assigner.WeightedScore(assigner.RendezvousScore(keeperKey, id), max(entry.Capacity, minCapacity))
		if bestScore == 0 || score > bestScore {
			best, bestScore = entry, score
		}
	}
	return best
}

func (q *QuotaLimiter) send(ctx context.Context, to eelgrassbeam.Entry, report Report) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Answer
	var err error
	if to.ID == q.config.Self.ID {
		answer = q.Keep(report)
	} else {
		answer, err = q.config.Reporter.Report(ctx, to, report)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	if err != nil {
		q.metrics.failures.Inc()
		q.suspects[to.ID] = now.Add(suspicion)
		q.config.Log.WithFields(logrus.Fields{"event": "quota_report_failed", "keeper": to.ID, "error": err}).Info("")
	}
	q.apply(report, answer, err, now)
}

// apply applies the answer to the report, or the lack of one. The caller must hold q.mu.
func (q *QuotaLimiter) apply(report Report, answer Answer, err error, now time.Time) {
	limits := make(map[eelgrassbeam.TeamID]float64, len(answer.Limits))
	for _, limit := range answer.Limits {
		limits[limit.Team] = max(limit.PerSecond, 0)
	}
	for _, usage := range report.Usages {
		a := q.accounts[usage.Team]
		if a == nil {
			continue
		}
		if err != nil {
			a.unanswered(usage)
			continue
		}
		limit, isLimited := limits[usage.Team]
		if !isLimited {
			limit = -1
		}
		if wasLimited := now.Before(a.limitedUntil); wasLimited != isLimited {
			q.config.Log.WithFields(logrus.Fields{
				"event": "quota_limit", "team": usage.Team, "is_limited": isLimited, "per_second": limit, "quota": a.quota.PerSecond,
			}).Info("")
		}
		a.answered(now, limit)
	}
}

// Keep takes a report as the keeper and returns the limits of the reported teams.
func (q *QuotaLimiter) Keep(report Report) Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.config.Clock.Now()
	if q.keeper == nil || now.Sub(q.keeper.reportedAt) > reporterTTL {
		q.keeper = newKeeper(now)
	}
	q.keeper.reporters[report.From], q.keeper.reportedAt = now, now
	// The others use their parts at most; the overage is kept for those that lost entries leave to the rest.
	part := min(1, q.reporterPart(now)+q.config.Overage*overageShare)
	var answer Answer
	for _, usage := range report.Usages {
		quota, ok := q.quotas[usage.Team]
		if !ok {
			continue
		}
		share := eelgrassbeam.Quota{PerSecond: quota.PerSecond * part, Burst: (quota.Burst + q.config.Slack*slackShare) * part}
		if limit := q.keeper.record(report.From, usage, share, now); limit >= 0 {
			answer.Limits = append(answer.Limits, Limit{Team: usage.Team, PerSecond: limit})
		}
	}
	return answer
}

// reporterPart returns the capacity of the entries that report to this keeper as a share of that of all known ones. Others,
// which are cut off or report elsewhere, use the rest. The caller must hold q.mu.
func (q *QuotaLimiter) reporterPart(now time.Time) float64 {
	reporting, total := 0.0, 0.0
	for id, each := range q.known {
		_, isLive := q.live[id]
		total += each.capacity
		if q.keeper.isReporter(id, isLive, now) {
			reporting += each.capacity
		}
	}
	if total == 0 {
		return 1
	}
	return reporting / total
}
