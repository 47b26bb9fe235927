package admitter

import "errors"

// Every error means that the request was not run.
var (
	// ErrQueueFull reports that the rank's queue is full.
	ErrQueueFull = errors.New("queue full")
	// ErrDeadline reports that the deadline has passed or cannot be met by the expected wait.
	ErrDeadline = errors.New("deadline cannot be met")
	// ErrNoUpstream reports that the site has no upstream with slots.
	ErrNoUpstream = errors.New("no upstream")
	// ErrClosed reports that the admitter is closed.
	ErrClosed = errors.New("admitter closed")
)
