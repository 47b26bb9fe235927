package ejector

import "time"

// state tells how an upstream is used.
type state string

const (
	stateUsed    state = "used"
	stateEjected state = "ejected"
	stateProbed  state = "probed"
)

const (
	// minSamples is the number of results from which the error rate counts.
	minSamples = 10
	// rateGain is the weight of a new result in the error rate.
	rateGain = 0.1
	// outlierFactor is how far above the other upstreams an error rate must lie.
	outlierFactor = 2
	// forgiveFactor is the time in use, in last ejections, after which the next ejection is a first one again.
	forgiveFactor = 4
)

// member is one upstream's history.
type member struct {
	state       state
	until       time.Time
	consecutive int
	samples     int
	errorRate   float64
	// length is the last ejection's length; zero if the next is a first one.
	length   time.Duration
	restored time.Time
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
	m.length = min(config.MaxTime, max(config.BaseTime, 2*m.length))
	m.until = now.Add(m.length)
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

func (m *member) forgive(now time.Time) {
	if m.length > 0 && now.Sub(m.restored) >= forgiveFactor*m.length {
		m.length = 0
	}
}
