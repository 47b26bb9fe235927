package router

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// loadTTL is the age from which a reported load is ignored.
const loadTTL = 2 * time.Second

// loadEstimate is the last reported load of a site, with the requests sent since.
type loadEstimate struct {
	mu   sync.Mutex
	load eelgrassbeam.SiteLoad
	// since is when the load was reported, or when the first request was sent after the report had become too old.
	since time.Time
	// sent counts the requests sent since then.
	sent int
}

// observe records a load reported by the site's dispatcher.
func (l *loadEstimate) observe(load eelgrassbeam.SiteLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.since, l.sent = load, now, 0
}

// countSent counts a request sent to the site.
func (l *loadEstimate) countSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= loadTTL {
		l.load, l.since, l.sent = eelgrassbeam.SiteLoad{}, now, 0
	}
	l.sent++
}

// free returns the share of the slots that is free for the rank, at most 1; it is negative if requests are queued
// ahead. The weight of the reported load falls to zero over loadTTL. slots is the configured number of slots, used
// if the dispatcher has not reported one.
func (l *loadEstimate) free(slots int, rank eelgrassbeam.Rank, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	freshness := 1 - float64(now.Sub(l.since))/float64(loadTTL)
	if freshness <= 0 {
		return 1
	}
	if l.load.Slots > 0 {
		slots = l.load.Slots
	}
	busy := float64(l.load.RequestsAhead(rank)+l.sent) * min(freshness, 1)
	return 1 - busy/float64(slots)
}
