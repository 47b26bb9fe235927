package forwarder

import "sync"

// reservations holds the buffer space of a request until it is released. Space that an abandoned exchange adds later is
// released immediately.
type reservations struct {
	mu         sync.Mutex
	releases   []func()
	isReleased bool
}

func (r *reservations) add(release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isReleased {
		release()
		return
	}
	r.releases = append(r.releases, release)
}

func (r *reservations) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReleased = true
	for _, release := range r.releases {
		release()
	}
}
