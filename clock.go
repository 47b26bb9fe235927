package eelgrassbeam

import "time"

// Clock tells the time and wakes waiters; clockwork's clocks satisfy it.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After delivers the time once the duration has passed.
	After(d time.Duration) <-chan time.Time
}
