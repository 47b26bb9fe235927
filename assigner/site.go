package assigner

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// siteState is what this entry knows about the dispatcher of one site.
type siteState struct {
	owner eelgrassbeam.EntryID
	// termsExpireAt is when the terms of all earlier owners have expired at the latest.
	termsExpireAt time.Time
	// handedOverAt is when the last dispatcher handed the site over to the owner; zero if it has not.
	handedOverAt time.Time
	// handoverTo is the entry that this entry must still hand the site over to, if any.
	handoverTo *eelgrassbeam.Entry
}

// setOwner sets a new owner, which must wait for the takeover delay unless the earlier owners' terms have expired.
func (s *siteState) setOwner(owner eelgrassbeam.EntryID, now time.Time, termsExpired bool, delay time.Duration) {
	s.owner, s.handedOverAt, s.handoverTo = owner, time.Time{}, nil
	if !termsExpired {
		s.termsExpireAt = now.Add(delay)
	}
}

// dispatchFrom returns the time from which the owner may dispatch. After a gap in its own term the owner waits for the
// takeover delay, as after a change of owner, since another entry may have taken over the site during the gap.
func (s *siteState) dispatchFrom(heldSince time.Time, delay time.Duration) time.Time {
	from := s.termsExpireAt
	if !s.handedOverAt.IsZero() {
		from = s.handedOverAt
	}
	afterGap := heldSince.Add(delay)
	if !s.handedOverAt.IsZero() && !s.handedOverAt.Before(heldSince) || afterGap.Before(from) {
		return from
	}
	return afterGap
}
