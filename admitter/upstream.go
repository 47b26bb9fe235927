package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// slowFactor is the latency, in site means, from which a report of full load is believed.
	slowFactor = 1.5
	// stallFactor is the latency, in site means, that lowers the limit without a report.
	stallFactor = 3
	// fullLoad is the reported load from which an upstream claims to be full.
	fullLoad = 0.9
	// shedBackoff scales the limit of an upstream that sheds load.
	shedBackoff = 0.7
)

// UpstreamSlots is an upstream with its bound on requests in progress.
type UpstreamSlots struct {
	Upstream eelgrassbeam.Upstream
	Slots    int
}

// upstreamState is what the site knows of one upstream.
type upstreamState struct {
	upstream eelgrassbeam.Upstream
	slots    int
	// limit adapts requests in progress between 1 and slots.
	limit      float64
	inProgress int
	started    time.Time
	// heldUntil is when a slot freed by a failure would have been freed by an answer.
	heldUntil time.Time
	latency   mean
}

func (u *upstreamState) bound() int { return min(u.slots, int(u.limit)) }

func (u *upstreamState) start(now time.Time) {
	u.inProgress++
	u.started = now
}

func (u *upstreamState) finish(result Result, siteMean time.Duration, started, now time.Time) {
	u.inProgress--
	switch result.Outcome {
	case OutcomeOK:
		u.latency.add(result.Duration)
		u.adapt(result, siteMean)
	case OutcomeShed:
		u.lower(u.limit * shedBackoff)
		u.holdUntil(started.Add(siteMean))
	case OutcomeFailed, OutcomeAbandoned:
		u.lower(u.limit * shedBackoff)
		u.holdUntil(started.Add(siteMean))
	}
}

// adapt moves the limit by latency; a report of full load counts only where the latency bears it out.
func (u *upstreamState) adapt(result Result, siteMean time.Duration) {
	relative := 1.0
	if siteMean > 0 {
		relative = float64(u.latency.value) / float64(siteMean)
	}
	claimsFull := result.HasLoad && result.Load >= fullLoad
	if relative > stallFactor || claimsFull && relative > slowFactor {
		u.lower(u.limit - 1/u.limit)
		return
	}
	u.limit = min(float64(u.slots), u.limit+1/u.limit)
}

func (u *upstreamState) lower(limit float64) { u.limit = max(1, limit) }

func (u *upstreamState) holdUntil(until time.Time) {
	if until.After(u.heldUntil) {
		u.heldUntil = until
	}
}

// upstreamSet is the site's upstreams; those with slots 0 only end their running work.
type upstreamSet struct{ states []*upstreamState }

func (s *upstreamSet) slots() int {
	total := 0
	for _, u := range s.states {
		total += u.bound()
	}
	return total
}

// free returns the slots that new work may take; running work beyond an upstream's bound takes none from others.
func (s *upstreamSet) free() int {
	total := 0
	for _, u := range s.states {
		total += max(0, u.bound()-u.inProgress)
	}
	return total
}

func (s *upstreamSet) inProgress() int {
	total := 0
	for _, u := range s.states {
		total += u.inProgress
	}
	return total
}

func (s *upstreamSet) replace(set []UpstreamSlots, now time.Time) {
	before := make(map[eelgrassbeam.UpstreamID]*upstreamState, len(s.states))
	for _, u := range s.states {
		before[u.upstream.ID] = u
	}
	s.states = s.states[:0:0]
	for _, member := range set {
		u := before[member.Upstream.ID]
		if u == nil {
			u = &upstreamState{started: now, limit: 1}
		}
		delete(before, member.Upstream.ID)
		u.change(member)
		s.states = append(s.states, u)
	}
	for _, u := range before {
		u.slots = 0
		if u.inProgress > 0 {
			s.states = append(s.states, u)
		}
	}
}

func (u *upstreamState) change(member UpstreamSlots) {
	slots := max(0, member.Slots)
	if member.Upstream.State == eelgrassbeam.InstanceLeaving || member.Upstream.State == eelgrassbeam.InstanceFailed {
		slots = 0
	}
	wasAtBound := u.limit >= float64(u.slots)
	u.upstream, u.slots = member.Upstream, slots
	if wasAtBound || u.limit > float64(slots) {
		u.limit = max(1, float64(slots))
	}
}

// forgetIdle drops an upstream that is out of the set and has ended its work.
func (s *upstreamSet) forgetIdle(u *upstreamState) {
	if u.slots > 0 || u.inProgress > 0 {
		return
	}
	for i, other := range s.states {
		if other == u {
			s.states = append(s.states[:i:i], s.states[i+1:]...)
			return
		}
	}
}

// choose returns the upstream with the least in progress by its limit, among
// equals the one idle for longest; nil without a free slot. Held upstreams are
// used only while nothing is in progress, so that some event always follows.
func (s *upstreamSet) choose(now time.Time, ignoreHolds bool) *upstreamState {
	ignoreHolds = ignoreHolds || s.inProgress() == 0
	var best *upstreamState
	for _, u := range s.states {
		if u.inProgress >= u.bound() || !ignoreHolds && u.heldUntil.After(now) {
			continue
		}
		if best == nil || u.isBefore(best) {
			best = u
		}
	}
	return best
}

func (u *upstreamState) isBefore(other *upstreamState) bool {
	mine, others := float64(u.inProgress)/u.limit, float64(other.inProgress)/other.limit
	if mine != others {
		return mine < others
	}
	return u.started.Before(other.started)
}
