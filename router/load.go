package router

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// loadTTL is the age from which a reported load is ignored.
const loadTTL = 2 * time.Second

// siteLoad is the last reported load of a site, with the requests sent since.
type siteLoad struct {
	mu   sync.Mutex
	load eelgrassbeam.SiteLoad
	at   time.Time
	// sent counts the requests sent since the load was reported.
	sent int
}

// observe records a load reported by the site's dispatcher.
func (l *siteLoad) observe(load eelgrassbeam.SiteLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.at, l.sent = load, now, 0
}

// send counts a sent request.
func (l *siteLoad) send(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) >= loadTTL {
		l.load, l.at, l.sent = eelgrassbeam.SiteLoad{}, now, 0
	}
	l.sent++
}

// free returns the share of the slots that is free for the rank, at most 1; it is negative if requests are queued
// ahead. The weight of the reported load falls to zero over loadTTL. slots is the configured number of slots, used
// if the dispatcher has not reported one.
func (l *siteLoad) free(slots int, rank eelgrassbeam.Rank, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := 1 - float64(now.Sub(l.at))/float64(loadTTL)
	if fresh <= 0 {
		return 1
	}
	if l.load.Slots > 0 {
		slots = l.load.Slots
	}
	busy := float64(l.load.Ahead(rank)+l.sent) * min(fresh, 1)
	return 1 - busy/float64(slots)
}
