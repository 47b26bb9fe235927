package forwarder

import "sync"

// reservations holds buffer space until it is released. What is added later, by an exchange that was given up, is released
// at once.
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
