package eelgrassbeam

import "errors"

var (
	// ErrInvalid reports a value that fails its own check.
	ErrInvalid = errors.New("invalid")
	// ErrNotFound reports that the platform holds no such object.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that a conditional update met another version.
	ErrConflict = errors.New("conflict")
	// ErrCompacted reports that a watch asked for a revision no longer kept.
	ErrCompacted = errors.New("revision compacted")
	// ErrUnavailable reports that the platform or a peer did not answer; the call may have taken effect.
	ErrUnavailable = errors.New("unavailable")
)
