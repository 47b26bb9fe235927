package eelgrassbeam

import (
	"errors"
	"fmt"
)

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

// VersionConflictError reports that a conditional update met another version; it wraps ErrConflict.
type VersionConflictError struct {
	// Current is the object as it stands; its Version is zero where the platform did not say.
	Current Object
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("%s/%s stands at version %d: %s", e.Current.Kind, e.Current.Name, e.Current.Version, ErrConflict)
}

// Unwrap returns ErrConflict.
func (e *VersionConflictError) Unwrap() error { return ErrConflict }
