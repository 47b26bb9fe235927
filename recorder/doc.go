// Package recorder remembers the non-idempotent requests that a receiver has
// taken, so that none runs twice and a cancel is answered truthfully.
package recorder
