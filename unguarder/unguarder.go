//go:build unguarded

// Package unguarder reads which guards a daemon runs without; only builds for tests have it.
package unguarder

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Variable is the environment variable that names the guards to turn off, separated by commas.
const Variable = "EELGRASSBEAM_UNGUARDED"

// ErrGuard reports a name that is no guard's.
var ErrGuard = errors.New("no such guard")

// Names returns the names of the guards to turn off.
func Names() []string {
	text := os.Getenv(Variable)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// Check returns an error if the environment names a guard that isn't known.
func Check(known []string) error {
	for _, name := range Names() {
		if !slices.Contains(known, name) {
			return fmt.Errorf("%w: %q in %s", ErrGuard, name, Variable)
		}
	}
	return nil
}
