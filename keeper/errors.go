package keeper

import (
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	// ErrClaimed reports a key that another home has claimed; its request may have run.
	ErrClaimed = errors.New("key is claimed elsewhere")
	// ErrReused reports a key that another home has claimed for another request.
	ErrReused = errors.New("key is claimed for another request")
	// ErrUnclaimed reports that no claim could be made.
	ErrUnclaimed = errors.New("key could not be claimed")
)

// ClaimedError names the home that claimed a key; it is empty where the claim is unreadable.
type ClaimedError struct{ Home eelgrassbeam.EntryID }

// Error implements error.
func (e *ClaimedError) Error() string { return fmt.Sprintf("%s by %q", ErrClaimed, e.Home) }

// Unwrap returns ErrClaimed.
func (e *ClaimedError) Unwrap() error { return ErrClaimed }
