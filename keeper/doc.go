// Package keeper runs each idempotency key at most once. One home entry a
// region remembers a key's answer; a claim in the platform, written before the
// request runs, keeps all other homes from running it.
package keeper
