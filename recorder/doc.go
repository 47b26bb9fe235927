// Package recorder tracks the state of the non-idempotent requests that a receiver has accepted, so that none runs twice
// and a cancellation reports whether the request ran.
package recorder
