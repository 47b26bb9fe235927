//go:build unguarded

// Package guardselector reads the names of the guards (safety checks) to disable from the environment. Only daemons
// built with the unguarded tag do so; tests use them to show that they detect a missing guard.
package guardselector

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Variable is the environment variable with the names of the guards to disable, separated by commas.
const Variable = "EELGRASSBEAM_UNGUARDED"

// ErrUnknownGuard reports a name in the environment that is not the name of a guard.
var ErrUnknownGuard = errors.New("no such guard")

// DisabledGuards returns the names of the guards to disable, or nil if there are none.
func DisabledGuards() []string {
	text := os.Getenv(Variable)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// CheckNames returns an error that wraps ErrUnknownGuard if the environment names a guard that is not in known.
func CheckNames(known []string) error {
	for _, name := range DisabledGuards() {
		if !slices.Contains(known, name) {
			return fmt.Errorf("%w: %q in %s", ErrUnknownGuard, name, Variable)
		}
	}
	return nil
}
