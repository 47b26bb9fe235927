package main

import (
	"errors"
	"flag"
	"fmt"

	goa "goa.design/goa/v3/pkg"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// Exit statuses.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitConflict       = 3
	exitInvalid        = 4
	exitUnknownOutcome = 5
	exitNotInForce     = 6
)

var (
	errUsage      = errors.New("usage")
	errNotInForce = errors.New("stored but not yet in force on all live entries")
	errLost       = errors.New("stored, but the store was restored from a copy since, and the configuration in force does not list the change")
)

// unknownOutcomeError reports a change that may or may not be stored.
type unknownOutcomeError struct {
	changeID string
	cause    error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may be stored: %v", e.changeID, e.cause)
}

func (e *unknownOutcomeError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...)
}

// exitStatus returns the exit status for a command's error.
func exitStatus(err error) int {
	var unknown *unknownOutcomeError
	var conflict *genoperator.ConflictError
	var invalid *genoperator.InvalidError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &unknown):
		return exitUnknownOutcome
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &invalid), errors.Is(err, eelgrassbeam.ErrInvalid):
		return exitInvalid
	case errors.Is(err, errLost):
		return exitUnknownOutcome
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	default:
		return exitFailed
	}
}

// errorLines returns the lines that describe the error to the user.
func errorLines(err error) []string {
	var unknown *unknownOutcomeError
	var conflict *genoperator.ConflictError
	var invalid *genoperator.InvalidError
	var serviceError *goa.ServiceError
	switch {
	case errors.As(err, &unknown):
		return []string{unknown.Error()}
	case errors.As(err, &conflict):
		return conflictLines(conflict)
	case errors.As(err, &invalid):
		return append([]string{invalid.Message}, invalid.Faults...)
	case errors.As(err, &serviceError):
		return []string{serviceError.Message}
	default:
		return []string{err.Error()}
	}
}

func conflictLines(conflict *genoperator.ConflictError) []string {
	lines := []string{
		"conflict: another version is stored than the one that the change rests on; the change was not stored",
		fmt.Sprintf("version %s: change %s by %s at %s", revisionOf(conflict), conflict.ChangeID, conflict.Author, conflict.At),
	}
	if conflict.Note != nil && *conflict.Note != "" {
		lines = append(lines, "note: "+*conflict.Note)
	}
	return lines
}
