package admitter

import (
	"context"
	"time"
)

// Run uses the slots that failures held back as soon as their holds end; until
// it runs, they are used at the next arrival or release.
func (a *Admitter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.held:
		}
		for wait, ok := a.nextHold(); ok; wait, ok = a.nextHold() {
			select {
			case <-ctx.Done():
				return nil
			case <-a.config.Clock.After(wait):
				a.poll()
			}
		}
	}
}

// nextHold returns the time until the next hold ends; false without one.
func (a *Admitter) nextHold() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.advance()
	var next time.Time
	for _, u := range a.upstreams.states {
		if u.heldUntil.After(now) && (next.IsZero() || u.heldUntil.Before(next)) {
			next = u.heldUntil
		}
	}
	return next.Sub(now), !next.IsZero()
}

func (a *Admitter) poll() {
	a.mu.Lock()
	decided := a.dispatch(a.advance(), nil)
	a.mu.Unlock()
	a.deliver(decided)
}

func (a *Admitter) signalHeld() {
	select {
	case a.held <- struct{}{}:
	default:
	}
}
