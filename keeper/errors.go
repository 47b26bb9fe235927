package keeper

import "errors"

var (
	// ErrClaimed reports a key that another home has claimed; its request may have run.
	ErrClaimed = errors.New("key is claimed elsewhere")
	// ErrReused reports a key that another home has claimed for another request.
	ErrReused = errors.New("key is claimed for another request")
	// ErrUnclaimed reports that no claim could be made.
	ErrUnclaimed = errors.New("key could not be claimed")
)
