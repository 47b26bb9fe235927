//go:build !unguarded

// Package guardselector reads the names of the guards (safety checks) to disable from the environment. Only daemons
// built with the unguarded tag do so; tests use them to show that they detect a missing guard.
package guardselector
