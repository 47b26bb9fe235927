package main

import (
	"errors"
	"flag"
	"fmt"

	goa "goa.design/goa/v3/pkg"

	"github.com/eelgrassbeam/eelgrassbeam"
	genoperator "github.com/eelgrassbeam/eelgrassbeam/gen/operator"
)

// The exit statuses.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitInvalid    = 4
	exitUnknown    = 5
	exitNotInForce = 6
)

var (
	errUsage      = errors.New("usage")
	errNotInForce = errors.New("stored but not yet in force on all live entries")
)

// unknownError reports a change whose outcome could not be found out.
type unknownError struct {
	changeID string
	cause    error
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may be stored: %v", e.changeID, e.cause)
}

func (e *unknownError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, args...)...)
}

// exitStatus turns a command's error into the exit status.
func exitStatus(err error) int {
	var unknown *unknownError
	var conflict *genoperator.ConflictError
	var invalid *genoperator.InvalidError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &invalid), errors.Is(err, eelgrassbeam.ErrInvalid):
		return exitInvalid
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	default:
		return exitFailed
	}
}

// describe returns the lines that tell a person what happened.
func describe(err error) []string {
	var unknown *unknownError
	var conflict *genoperator.ConflictError
	var invalid *genoperator.InvalidError
	var refusal *goa.ServiceError
	switch {
	case errors.As(err, &unknown):
		return []string{unknown.Error()}
	case errors.As(err, &conflict):
		return describeConflict(conflict)
	case errors.As(err, &invalid):
		return append([]string{invalid.Message}, invalid.Faults...)
	case errors.As(err, &refusal):
		return []string{refusal.Message}
	default:
		return []string{err.Error()}
	}
}

func describeConflict(conflict *genoperator.ConflictError) []string {
	lines := []string{
		"conflict: another change is stored; nothing of this one is",
		fmt.Sprintf("version %d: change %s by %s at %s", conflict.Version, conflict.ChangeID, conflict.Author, conflict.At),
	}
	if conflict.Note != nil && *conflict.Note != "" {
		lines = append(lines, "note: "+*conflict.Note)
	}
	return lines
}
