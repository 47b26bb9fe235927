package ejector

import "time"

// state is the ejection state of an upstream.
type state string

const (
	stateUsed    state = "used"
	stateEjected state = "ejected"
	stateProbed  state = "probed"
)

const (
	// minSamples is the number of results below which the error rate is ignored.
	minSamples = 10
	// rateGain is the weight of a new result in the moving average of the error rate.
	rateGain = 0.1
	// outlierFactor is the ratio to the mean error rate of the other upstreams from which an upstream is an outlier.
	outlierFactor = 2
	// backoffResetFactor is the time in use, in multiples of the last ejection, after which the next ejection has the
	// base duration again.
	backoffResetFactor = 4
)

// member is the ejection state and recent history of one upstream.
type member struct {
	state       state
	until       time.Time
	consecutive int
	samples     int
	errorRate   float64
	// ejectionTime is the duration of the last ejection; zero if the next one has the base duration.
	ejectionTime time.Duration
	restored     time.Time
}

func (m *member) record(failed bool) {
	m.samples++
	sample := 0.0
	if failed {
		sample = 1
		m.consecutive++
	} else {
		m.consecutive = 0
	}
	m.errorRate += rateGain * (sample - m.errorRate)
}

func (m *member) eject(now time.Time, config Config) {
	m.ejectionTime = min(config.MaxTime, max(config.BaseTime, 2*m.ejectionTime))
	m.until = now.Add(m.ejectionTime)
	m.state = stateEjected
	m.consecutive, m.samples, m.errorRate = 0, 0, 0
}

func (m *member) refresh(now time.Time) {
	if m.state == stateEjected && !now.Before(m.until) {
		m.state = stateProbed
	}
}

func (m *member) restore(now time.Time) {
	m.state, m.restored = stateUsed, now
	m.consecutive, m.samples, m.errorRate = 0, 0, 0
}

func (m *member) resetBackoff(now time.Time) {
	if m.ejectionTime > 0 && now.Sub(m.restored) >= backoffResetFactor*m.ejectionTime {
		m.ejectionTime = 0
	}
}
