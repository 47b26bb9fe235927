package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// longGrace is the grace of the changed settings, that of the large deployment.
	longGrace = 10 * time.Second
	// listingWork is the work of a request, within the largest of event-listing.
	listingWork     = 4500 * time.Millisecond
	listingTimeout  = 7 * time.Second
	listingDeadline = 8 * time.Second
	listingInterval = 100 * time.Millisecond
	// listingFor is the time after SIGTERM for which clients go on sending on the connections that they have.
	listingFor = 2 * time.Second
	// settingsDelay is the time between SIGHUP and SIGTERM.
	settingsDelay = 5 * time.Second
)

// playGrace changes the grace in the settings of an entry, tells it by SIGHUP, and stops it later by SIGTERM. LOST is broken
// if the entry cuts a request that an upstream is at work on, though it would have ended well before the last sixth of grace.
// Without trouble the entry starts with these settings.
func playGrace(r *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	listing := route{
		name: "event-listing", prefix: "/listing/", kind: "idempotent", service: "reservas",
		timeout: listingTimeout, target: 5 * time.Second, priority: 2,
	}
	d.putConfig(3, listing)
	for range 16 {
		if _, err := d.addUpstream("reservas", "quito-a", 6, listingWork); err != nil {
			return false, err
		}
	}
	for range 3 {
		d.addEntry("quito-a")
	}
	stopped := d.entries[0]
	if !hasTrouble {
		stopped.grace = longGrace
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	sleep(stableWindow)
	if hasTrouble {
		stopped.grace = longGrace
		if _, err := stopped.writeSettings(false); err != nil {
			return false, err
		}
		r.line("the settings of %s change: grace is %s", stopped.name, longGrace)
		stopped.signal(syscall.SIGHUP)
	}
	sleep(settingsDelay)
	stopped.signal(syscall.SIGTERM)
	termAt := now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered, cut, unread := 0, 0, 0
	for since(termAt) < listingFor {
		clients.Go(func() {
			id, sentAt := newID(), since(termAt)
			r.line("sent     %s, %s after SIGTERM", id, sentAt.Round(time.Millisecond))
			got, err := sendOnce(address(stopped.ip, frontPort), attempt{
				method: "GET", path: listing.prefix + "tea", id: id, key: id, deadline: listingDeadline,
			})
			r.line("client   %s: status %d, error %v, %s after SIGTERM", id, got.status, err, since(termAt).Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case len(d.runsOf(id)) > 0:
				cut++
				r.line("LOST     %s: sent %s and cut %s after SIGTERM, while an upstream was at work on it",
					id, sentAt.Round(time.Millisecond), since(termAt).Round(time.Millisecond))
			default:
				unread++
			}
		})
		sleep(listingInterval)
	}
	clients.Wait()
	select {
	case <-stopped.ended:
	case <-after(longGrace - since(termAt)):
		stopped.kill()
	}
	r.say("%d requests answered, %d cut while an upstream was at work, %d not read; the process has ended %s after SIGTERM at the latest",
		answered, cut, unread, since(termAt).Round(100*time.Millisecond))
	return cut > 0, nil
}
