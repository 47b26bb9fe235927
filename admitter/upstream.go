package admitter

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// slowLatencyFactor is the latency, in multiples of the site's mean, above which a report of full load lowers the
	// limit.
	slowLatencyFactor = 1.5
	// stalledLatencyFactor is the latency, in multiples of the site's mean, above which the limit falls without a
	// report.
	stalledLatencyFactor = 3
	// fullLoadShare is the reported load, 0 to 1, from which an upstream counts as reporting full load.
	fullLoadShare = 0.9
	// limitBackoff is the factor by which the limit falls after a shed, failed or abandoned request.
	limitBackoff = 0.7
)

// UpstreamSlots is an upstream with the number of requests that may be in progress at it.
type UpstreamSlots struct {
	Upstream eelgrassbeam.Upstream
	Slots    int
}

// upstreamState is the admission state of one upstream.
type upstreamState struct {
	upstream eelgrassbeam.Upstream
	slots    int
	// limit is the adaptive limit on requests in progress, from 1 to slots.
	limit      float64
	inProgress int
	lastStart  time.Time
	// heldUntil is the latest time at which a failed, shed or abandoned request would have ended at the site's mean
	// service time. Until then the upstream gets no new requests, so that one that fails fast attracts no extra work.
	heldUntil time.Time
	latency   mean
}

// bound returns the number of requests that may be in progress: the lower of slots and limit.
func (u *upstreamState) bound() int { return min(u.slots, int(u.limit)) }

func (u *upstreamState) start(now time.Time) {
	u.inProgress++
	u.lastStart = now
}

func (u *upstreamState) finish(result Result, siteMean time.Duration, started, now time.Time) {
	u.inProgress--
	switch result.Outcome {
	case OutcomeOK:
		u.latency.add(result.Duration)
		u.adapt(result, siteMean)
	case OutcomeShed:
		u.lower(u.limit * limitBackoff)
		u.holdUntil(started.Add(siteMean))
	case OutcomeFailed, OutcomeAbandoned:
		u.lower(u.limit * limitBackoff)
		u.holdUntil(started.Add(siteMean))
	}
}

// adapt adjusts the limit to the latency. A report of full load counts only if the latency is high as well.
func (u *upstreamState) adapt(result Result, siteMean time.Duration) {
	relative := 1.0
	if siteMean > 0 {
		relative = float64(u.latency.value) / float64(siteMean)
	}
	reportsFullLoad := result.HasLoad && result.Load >= fullLoadShare
	if relative > stalledLatencyFactor || reportsFullLoad && relative > slowLatencyFactor {
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

// upstreamSet holds the site's upstreams. Those with zero slots get no new requests and are kept until their
// requests in progress end.
type upstreamSet struct{ states []*upstreamState }

func (s *upstreamSet) slots() int {
	total := 0
	for _, u := range s.states {
		total += u.bound()
	}
	return total
}

// free returns the number of free slots. Requests in progress beyond one upstream's bound use no slots of the others.
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
			u = &upstreamState{lastStart: now, limit: 1}
		}
		delete(before, member.Upstream.ID)
		u.update(member)
		s.states = append(s.states, u)
	}
	for _, u := range before {
		u.slots = 0
		if u.inProgress > 0 {
			s.states = append(s.states, u)
		}
	}
}

func (u *upstreamState) update(member UpstreamSlots) {
	slots := max(0, member.Slots)
	if member.Upstream.State == eelgrassbeam.InstanceLeaving || member.Upstream.State == eelgrassbeam.InstanceFailed {
		slots = 0
	}
	// An upstream whose limit was not reduced follows a rise of its slots at once.
	wasUnreduced := u.limit >= float64(u.slots)
	u.upstream, u.slots = member.Upstream, slots
	if wasUnreduced || u.limit > float64(slots) {
		u.limit = max(1, float64(slots))
	}
}

// removeIfDone removes an upstream that has no slots and no requests in progress.
func (s *upstreamSet) removeIfDone(u *upstreamState) {
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

// choose returns the upstream with the lowest ratio of requests in progress to its limit, among equals the least
// recently used one; nil without a free slot. Holds are ignored while nothing is in progress at the site, because
// then no release would follow to start the waiting requests.
func (s *upstreamSet) choose(now time.Time, ignoreHolds bool) *upstreamState {
	ignoreHolds = ignoreHolds || s.inProgress() == 0
	var best *upstreamState
	for _, u := range s.states {
		if u.inProgress >= u.bound() || !ignoreHolds && u.heldUntil.After(now) {
			continue
		}
		if best == nil || u.isPreferredTo(best) {
			best = u
		}
	}
	return best
}

func (u *upstreamState) isPreferredTo(other *upstreamState) bool {
	own, theirs := float64(u.inProgress)/u.limit, float64(other.inProgress)/other.limit
	if own != theirs {
		return own < theirs
	}
	return u.lastStart.Before(other.lastStart)
}
