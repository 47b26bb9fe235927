package recorder

import (
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	// ErrDuplicate reports a request that was received before; a *DuplicateError tells its state.
	ErrDuplicate = errors.New("request was received before")
	// ErrBarred reports a request that was cancelled before it started; it never runs here.
	ErrBarred = errors.New("request is barred")
	// ErrFull reports that the record has no room; the request was not run.
	ErrFull = errors.New("request record is full")
	// ErrState reports a start without a receipt or a second start.
	ErrState = errors.New("request is in another state")
)

// DuplicateError tells what is known about a request that was received before.
type DuplicateError struct {
	State State
	// Reply is set for a request that is done and whose reply is still kept.
	Reply *eelgrassbeam.Reply
}

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("%s: %s", ErrDuplicate, e.State) }

// Unwrap returns ErrDuplicate.
func (e *DuplicateError) Unwrap() error { return ErrDuplicate }
