// Package deduplicator runs each request with an idempotency key at most once. In each region one entry, the home of
// the key, records the reply. A claim, written to the platform before the request runs, keeps all other homes from
// running it.
package deduplicator
