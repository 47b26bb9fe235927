package admitter

import (
	"context"
	"time"
)

// Run assigns the free slots of upstreams held after a failure as soon as the hold ends, until the context ends.
// Without Run they are assigned at the next arrival or release.
func (a *Admitter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.holdAdded:
		}
		for wait, ok := a.nextHold(); ok; wait, ok = a.nextHold() {
			select {
			case <-ctx.Done():
				return nil
			case <-a.config.Clock.After(wait):
				a.dispatchFree()
			}
		}
	}
}

// nextHold returns the time until the next hold ends; false if no upstream is held.
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

func (a *Admitter) dispatchFree() {
	a.mu.Lock()
	decided := a.dispatch(a.advance(), nil)
	a.mu.Unlock()
	a.notifyAll(decided)
}

func (a *Admitter) signalHold() {
	select {
	case a.holdAdded <- struct{}{}:
	default:
	}
}
