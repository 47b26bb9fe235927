package sender

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// grantWait bounds the time that a request waits for a grant.
	grantWait = 250 * time.Millisecond
	// grantPoll is the time between looks for a grant.
	grantPoll = 10 * time.Millisecond
	// maxAwaiting bounds the urgent requests that wait for a grant; each less urgent rank may fill half as much.
	maxAwaiting = 64
)

// choose returns the chooser's choice. While only a grant is missing it waits for a short while; nothing has been sent,
// so this is no retry.
func (s *Sender) choose(
	ctx context.Context, request eelgrassbeam.Request, tried []eelgrassbeam.Site, deadline time.Time,
) (Choice, error) {
	now := s.config.Clock.Now()
	choice, err := s.config.Chooser.Choose(request, tried, now)
	if !errors.Is(err, ErrNoGrant) {
		return choice, err
	}
	defer s.awaiting.Add(-1)
	if s.awaiting.Add(1) > maxAwaiting>>request.Rank.Index() {
		return choice, err
	}
	for until := now.Add(grantWait); errors.Is(err, ErrNoGrant) && now.Before(until) && s.wait(ctx, grantPoll, deadline); {
		now = s.config.Clock.Now()
		choice, err = s.config.Chooser.Choose(request, tried, now)
	}
	return choice, err
}
