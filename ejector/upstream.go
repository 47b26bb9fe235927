package ejector

import "time"

// state is the ejection state of an upstream.
type state string

const (
	stateInUse   state = "used"
	stateEjected state = "ejected"
	// stateProbed means that the ejection has ended and one slot is open; the next result restores the upstream or
	// ejects it again.
	stateProbed state = "probed"
)

const (
	// minSamples is the number of results below which the error rate is ignored.
	minSamples = 10
	// rateGain is the weight of a new result in the moving average of the error rate.
	rateGain = 0.1
	// outlierFactor is the multiple of the mean error rate of the other upstreams from which the error rate of an
	// upstream makes it an outlier.
	outlierFactor = 2
	// backoffResetFactor is the time in use, in multiples of the last ejection, after which the next ejection has the
	// base duration again.
	backoffResetFactor = 4
)

// upstreamState is the ejection state and recent history of one upstream.
type upstreamState struct {
	state        state
	ejectedUntil time.Time
	consecutive  int
	samples      int
	errorRate    float64
	// ejectionTime is the duration of the last ejection; zero if the next one has the base duration.
	ejectionTime time.Duration
	restoredAt   time.Time
}

func (u *upstreamState) record(failed bool) {
	u.samples++
	sample := 0.0
	if failed {
		sample = 1
		u.consecutive++
	} else {
		u.consecutive = 0
	}
	u.errorRate += rateGain * (sample - u.errorRate)
}

func (u *upstreamState) eject(now time.Time, config Config) {
	u.ejectionTime = min(config.MaxTime, max(config.BaseTime, 2*u.ejectionTime))
	u.ejectedUntil = now.Add(u.ejectionTime)
	u.state = stateEjected
	u.consecutive, u.samples, u.errorRate = 0, 0, 0
}

// endExpiredEjection moves an upstream whose ejection has ended to stateProbed.
func (u *upstreamState) endExpiredEjection(now time.Time) {
	if u.state == stateEjected && !now.Before(u.ejectedUntil) {
		u.state = stateProbed
	}
}

func (u *upstreamState) restore(now time.Time) {
	u.state, u.restoredAt = stateInUse, now
	u.consecutive, u.samples, u.errorRate = 0, 0, 0
}

func (u *upstreamState) resetBackoff(now time.Time) {
	if u.ejectionTime > 0 && now.Sub(u.restoredAt) >= backoffResetFactor*u.ejectionTime {
		u.ejectionTime = 0
	}
}
