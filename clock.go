package eelgrassbeam

import "time"

// Clock provides the current time and timers; clockwork.Clock implements it.
type Clock interface {
	// Now returns the current time, including the monotonic clock reading.
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
}
