package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Outcome tells how the work in a slot ended.
type Outcome string

// The outcomes.
const (
	// OutcomeOK says that the upstream answered.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed says that the upstream failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeShed says that the upstream refused the work for its load.
	OutcomeShed Outcome = "shed"
	// OutcomeAbandoned says that the exchange was given up, such as at a timeout.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeUnused says that nothing was sent to the upstream.
	OutcomeUnused Outcome = "unused"
)

// Result tells how the work in a slot went.
type Result struct {
	Outcome  Outcome
	Duration time.Duration
	// Load is the share of its capacity that the upstream reports in use, 0 to 1; HasLoad is false without a report.
	Load    float64
	HasLoad bool
}

// Slot is the right to one request in progress at an upstream.
type Slot struct {
	Upstream eelgrassbeam.Upstream

	admitter *Admitter
	state    *upstreamState
	rank     *rankState
	byFloor  bool
	started  time.Time
	released bool
}

// Release gives the slot back; calls after the first do nothing.
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
	a.learn(s, result, now)
	decided := a.dispatch(now, nil)
	if s.state.heldUntil.After(now) {
		a.signalHeld()
	}
	a.mu.Unlock()
	a.deliver(decided)
}

func (a *Admitter) learn(s *Slot, result Result, now time.Time) {
	s.state.finish(result, a.service.value, s.started, now)
	a.upstreams.forgetIdle(s.state)
	switch {
	case result.Outcome == OutcomeOK:
	case result.Outcome == OutcomeAbandoned && result.Duration > a.service.value:
	default:
		return
	}
	a.service.add(result.Duration)
	s.rank.service.add(result.Duration)
}
