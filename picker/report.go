package picker

import "time"

const (
	// paceHalfLife is the half-life of a reported pace, which changes several times a second.
	paceHalfLife = 200 * time.Millisecond
	// meanLoadWeight is the weight of the newest report in the mean load of a service's upstreams.
	meanLoadWeight = 0.02
)

// observeReport records what a report says of the service: other entries' requests by slot, and the pace, zero if not
// reported.
func (s *service) observeReport(othersPerSlot, pace float64) {
	s.sharesMachines = s.sharesMachines || pace > 0
	s.othersPerSlot += meanLoadWeight * (othersPerSlot - s.othersPerSlot)
}

// expectedOthers estimates other entries' requests at an upstream: by its latest report while that is fresh, and by the mean
// of the service as it ages. To an estimate that ages to none, an upstream that nothing was heard of for a second seems idle
// to all entries at the same time. The usual load leaves one slot free, so that an entry still tries the upstream.
func (s *service) expectedOthers(u *state, now time.Time) float64 {
	usual := min(s.othersPerSlot*float64(u.slots()), float64(u.slots()-1))
	if u.reportedAt.IsZero() {
		return usual
	}
	fresh := decayFactor(now.Sub(u.reportedAt), reportHalfLife)
	return fresh*u.otherInFlight + (1-fresh)*usual
}

// paceAt returns how long work takes at the upstream as a multiple of the usual time, 1 without a report and as it ages.
func (u *state) paceAt(now time.Time) float64 {
	if u.pace == 0 {
		return 1
	}
	return 1 + (u.pace-1)*decayFactor(now.Sub(u.reportedAt), paceHalfLife)
}
