package recorder

import (
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	// ErrDuplicate is returned for a request that was received before; *DuplicateError carries its state.
	ErrDuplicate = errors.New("request was already received")
	// ErrBarred is returned for a request that was cancelled before it started; it never runs here.
	ErrBarred = errors.New("request was cancelled before it started")
	// ErrFull is returned when the recorder is at capacity; the request was not run.
	ErrFull = errors.New("request recorder is at capacity")
	// ErrNotStartable is returned when a request is started that was not received, or was already started.
	ErrNotStartable = errors.New("request was not received or has already started")
)

// DuplicateError wraps ErrDuplicate with the state of the request.
type DuplicateError struct {
	State State
	// Reply is set if the request is done and its reply has not been evicted.
	Reply *eelgrassbeam.Reply
}

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("%s: %s", ErrDuplicate, e.State) }

// Unwrap returns ErrDuplicate.
func (e *DuplicateError) Unwrap() error { return ErrDuplicate }
