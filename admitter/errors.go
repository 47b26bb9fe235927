package admitter

import "errors"

// Errors of Admit and Submit. Each one means that the request was not run.
var (
	// ErrQueueFull means that the queue of the request's rank is full.
	ErrQueueFull = errors.New("rank queue is full")
	// ErrDeadline means that the deadline has passed, or would pass within the expected wait.
	ErrDeadline = errors.New("request deadline cannot be met")
	// ErrNoUpstream means that the site has no upstream with slots.
	ErrNoUpstream = errors.New("site has no upstream with slots")
	// ErrClosed means that the admitter is closed.
	ErrClosed = errors.New("admitter is closed")
)
