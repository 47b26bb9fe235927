package eelgrassbeam

import (
	"errors"
	"fmt"
)

var (
	// ErrInvalid reports a value that fails validation.
	ErrInvalid = errors.New("invalid")
	// ErrNotFound reports that the object does not exist on the platform.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that a conditional update was based on an outdated version.
	ErrConflict = errors.New("conflict")
	// ErrCompacted reports that a watch requested a revision whose history the store no longer has.
	ErrCompacted = errors.New("revision compacted")
	// ErrUnavailable reports that the platform or a peer did not answer; the call may have taken effect.
	ErrUnavailable = errors.New("unavailable")
)

// VersionConflictError reports that a conditional update was based on an outdated version; it wraps ErrConflict.
type VersionConflictError struct {
	// Current is the stored object; its Version is zero if the platform did not report it.
	Current Object
}

// Error implements error.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("%s/%s is at version %s: %s", e.Current.Kind, e.Current.Name, e.Current.Version, ErrConflict)
}

// Unwrap returns ErrConflict.
func (e *VersionConflictError) Unwrap() error { return ErrConflict }
