package quotalimiter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// silenceTimeout is how long an entry goes on without an answer of the keeper before it falls back to its fixed part of
	// the quota. It covers several round trips between regions.
	silenceTimeout = 600 * time.Millisecond
	// limitTerm is how long a limit of the keeper holds without another answer.
	limitTerm = 2 * time.Second
	// reportInterval is the time after which a request is reported, limitedReportInterval that for a limited team, whose
	// parts follow the demand.
	reportInterval        = 500 * time.Millisecond
	limitedReportInterval = 250 * time.Millisecond
	// minEarlyReport is the number of unreported requests of a team from which they are reported at once.
	minEarlyReport = 2
	// earlyReportShare is the same as a share of this entry's part of the burst.
	earlyReportShare = 0.5
	// minAloneDepth is the least number of tokens that accumulate while the keeper is silent: small teams have few requests at
	// each entry, which don't come evenly.
	minAloneDepth = 2.0
	// limitedDepth is how long tokens of a limited team accumulate.
	limitedDepth = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay that rejected callers are told to wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// account is what an entry knows of one team's requests.
type account struct {
	quota eelgrassbeam.Quota
	// arrived and admitted count the requests since the latest report.
	arrived, admitted int
	// pendingSince is when the first request arrived that no answer covers; zero for none.
	pendingSince time.Time
	// reportedAt is when the latest report was sent.
	reportedAt time.Time
	// limit is the rate that the keeper allows this entry, until limitedUntil.
	limit        float64
	limitedUntil time.Time
	tokens       float64
	tokensAt     time.Time
}

// admit decides on a request. part is this entry's fixed part of all quotas, 0 to 1. If it returns false, it returns the time
// after which a request may be admitted.
func (a *account) admit(now time.Time, part float64) (bool, time.Duration) {
	a.arrived++
	if a.pendingSince.IsZero() {
		a.pendingSince = now
	}
	perSecond, depth := 0.0, 1.0
	switch {
	case now.Before(a.limitedUntil):
		perSecond = a.limit
		depth = max(depth, a.limit*limitedDepth.Seconds())
	case now.Sub(a.pendingSince) > silenceTimeout:
		perSecond = a.quota.PerSecond * part
		depth = max(minAloneDepth, a.quota.Burst*part)
	default:
		a.tokens, a.tokensAt = 1, now
		a.admitted++
		return true, 0
	}
	a.tokens = min(depth, a.tokens+now.Sub(a.tokensAt).Seconds()*perSecond)
	a.tokensAt = now
	if a.tokens < 1 {
		return false, retryAfter(1-a.tokens, perSecond)
	}
	a.tokens--
	a.admitted++
	return true, 0
}

func retryAfter(missing, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := min(missing/perSecond, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}

// isDue reports whether the requests since the latest report are to be reported.
func (a *account) isDue(now time.Time, part float64) bool {
	if a.arrived == 0 {
		return false
	}
	interval := reportInterval
	if now.Before(a.limitedUntil) {
		interval = limitedReportInterval
	} else if float64(a.admitted) >= max(minEarlyReport, a.quota.Burst*part*earlyReportShare) {
		return true
	}
	return now.Sub(a.reportedAt) >= interval
}

// take moves the counts into a report.
func (a *account) take(team eelgrassbeam.TeamID, now time.Time) Usage {
	usage := Usage{Team: team, Arrived: a.arrived, Admitted: a.admitted, IsLimited: now.Before(a.limitedUntil)}
	a.arrived, a.admitted, a.reportedAt = 0, 0, now
	return usage
}

// answered applies the keeper's answer to the latest report; a negative limit means none.
func (a *account) answered(now time.Time, limit float64) {
	a.pendingSince = time.Time{}
	if a.arrived > 0 {
		a.pendingSince = now
	}
	if limit < 0 {
		a.limitedUntil = time.Time{}
		return
	}
	if !now.Before(a.limitedUntil) {
		a.tokens, a.tokensAt = 0, now
	}
	a.limit, a.limitedUntil = limit, now.Add(limitTerm)
}

// unanswered takes back the counts of a report that got no answer, so that the next one holds them.
func (a *account) unanswered(usage Usage) {
	a.arrived, a.admitted = a.arrived+usage.Arrived, a.admitted+usage.Admitted
}
