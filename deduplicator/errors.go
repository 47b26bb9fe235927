package deduplicator

import (
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	// ErrClaimed is returned for a key that another home has claimed; the request may have run there.
	ErrClaimed = errors.New("idempotency key is already claimed")
	// ErrReused is returned for a key that another home has claimed for a different request.
	ErrReused = errors.New("idempotency key is claimed for a different request")
	// ErrUnclaimed is returned when the claim could not be written or verified.
	ErrUnclaimed = errors.New("idempotency key could not be claimed")
)

// ClaimedError wraps ErrClaimed with the home that holds the claim. Home is empty if the claim cannot be decoded.
type ClaimedError struct{ Home eelgrassbeam.EntryID }

// Error implements error.
func (e *ClaimedError) Error() string { return fmt.Sprintf("%s by %q", ErrClaimed, e.Home) }

// Unwrap returns ErrClaimed.
func (e *ClaimedError) Unwrap() error { return ErrClaimed }
