//go:build !unguarded

// Package unguarder reads which guards a daemon runs without; only builds for tests have it.
package unguarder
