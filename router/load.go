package router

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// loadMemory is the age at which a known load counts for nothing.
const loadMemory = 2 * time.Second

// siteLoad is what this entry knows about a site's load.
type siteLoad struct {
	mu   sync.Mutex
	load eelgrassbeam.SiteLoad
	at   time.Time
	// sent counts the requests sent since the load was told.
	sent int
}

// observe takes a load that the site's dispatcher told.
func (l *siteLoad) observe(load eelgrassbeam.SiteLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.at, l.sent = load, now, 0
}

// send counts a request that is sent.
func (l *siteLoad) send(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) >= loadMemory {
		l.load, l.at, l.sent = eelgrassbeam.SiteLoad{}, now, 0
	}
	l.sent++
}

// free returns the share of the slots that is free for the rank, below 0 for a site with a queue ahead. What is known
// counts for less as it ages. The configured slots stand in for those that were never told.
func (l *siteLoad) free(slots int, rank eelgrassbeam.Rank, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := 1 - float64(now.Sub(l.at))/float64(loadMemory)
	if fresh <= 0 {
		return 1
	}
	if l.load.Slots > 0 {
		slots = l.load.Slots
	}
	busy := float64(l.load.Ahead(rank)+l.sent) * min(fresh, 1)
	return 1 - busy/float64(slots)
}
