package sender

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// grantWait is the maximum time that a request waits for a grant.
	grantWait = 250 * time.Millisecond
	// grantPollInterval is the time between checks for a grant.
	grantPollInterval = 10 * time.Millisecond
	// maxGrantWaiters limits the urgent requests that wait for a grant; the limit halves with each lower rank.
	maxGrantWaiters = 64
)

// choose returns the chooser's choice. On ErrNoGrant it polls for up to grantWait. This does not count as a retry,
// since nothing has been sent.
func (s *Sender) choose(
	ctx context.Context, request eelgrassbeam.Request, tried []eelgrassbeam.Site, deadline time.Time,
) (Choice, error) {
	now := s.config.Clock.Now()
	choice, err := s.config.Chooser.Choose(request, tried, now)
	if !errors.Is(err, ErrNoGrant) {
		return choice, err
	}
	defer s.grantWaiters.Add(-1)
	if s.grantWaiters.Add(1) > maxGrantWaiters>>request.Rank.Index() {
		return choice, err
	}
	for until := now.Add(grantWait); errors.Is(err, ErrNoGrant) && now.Before(until) && s.wait(ctx, grantPollInterval, deadline); {
		now = s.config.Clock.Now()
		choice, err = s.config.Chooser.Choose(request, tried, now)
	}
	return choice, err
}
