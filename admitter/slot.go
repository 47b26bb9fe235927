package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Outcome is how the request in a slot ended.
type Outcome string

// Outcomes of a request in a slot.
const (
	// OutcomeOK means that the upstream answered.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed means that the upstream failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeShed means that the upstream refused the request because of its load.
	OutcomeShed Outcome = "shed"
	// OutcomeAbandoned means that the exchange was abandoned, for example after a timeout.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeUnused means that nothing was sent to the upstream.
	OutcomeUnused Outcome = "unused"
)

// Result is the outcome, duration and reported load of the request in a slot.
type Result struct {
	Outcome  Outcome
	Duration time.Duration
	// Load is the share of its capacity that the upstream reports as in use, 0 to 1; HasLoad is false without a
	// report.
	Load    float64
	HasLoad bool
}

// Slot permits one request in progress at an upstream.
type Slot struct {
	Upstream eelgrassbeam.Upstream

	admitter *Admitter
	state    *upstreamState
	rank     *rankState
	byFloor  bool
	started  time.Time
	released bool
}

// Release returns the slot with the result of its request; calls after the first do nothing.
func (s *Slot) Release(result Result) {
	a := s.admitter
	a.mu.Lock()
	if s.released {
		a.mu.Unlock()
		return
	}
	s.released = true
	now := a.advance()
	s.rank.finish(s.byFloor)
	a.recordResult(s, result, now)
	decided := a.dispatch(now, nil)
	if s.state.heldUntil.After(now) {
		a.signalHold()
	}
	a.mu.Unlock()
	a.notifyAll(decided)
}

// recordResult updates the upstream and the mean service times. The duration of an abandoned request is a lower bound
// of its service time, so it counts only if it is above the mean.
func (a *Admitter) recordResult(s *Slot, result Result, now time.Time) {
	s.state.finish(result, a.serviceTime.value, s.started, now)
	a.upstreams.removeIfDone(s.state)
	switch {
	case result.Outcome == OutcomeOK:
	case result.Outcome == OutcomeAbandoned && result.Duration > a.serviceTime.value:
	default:
		return
	}
	a.serviceTime.add(result.Duration)
	s.rank.serviceTime.add(result.Duration)
}
