// Package recorder tracks the state of the attempts that a receiver has accepted, so that none runs twice and a
// cancellation reports whether the attempt ran. What this package calls a request is one attempt, identified by its
// attempt ID.
package recorder
