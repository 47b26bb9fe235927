package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = time.Minute
	// sweepInterval is the time between looks for entries that have lapsed, while a watch waits.
	sweepInterval = 200 * time.Millisecond
)

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchArguments(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timeout := p.clock.After(wait)
	for ended := false; ; {
		changes, changed, faults, err := p.changesAfter(r.PathValue("kind"), after)
		switch {
		case faults.SilentWatch:
			p.hang(r)
		case faults.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusGone)
			return
		case len(changes.Events) > 0 || ended:
			writeJSON(w, http.StatusOK, eventsOf(changes))
			return
		}
		select {
		case <-changed:
		case <-p.nextSweep():
		case <-timeout:
			ended = true
		case <-p.stop:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after the revision and a channel that is closed at the next one.
func (p *Platform) changesAfter(kind string, after uint64) (eelgrassbeam.ObjectEvents, <-chan struct{}, PlatformFaults, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweep() {
		p.wake()
	}
	changes, err := p.objects.changes(kind, after)
	return changes, p.changed, p.faults, err
}

// hang waits until the client goes away and aborts the connection.
func (p *Platform) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.stop:
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func watchArguments(r *http.Request) (uint64, time.Duration, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	wait, err := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
	if err != nil {
		return 0, 0, err
	}
	return after, min(time.Duration(wait)*time.Millisecond, maxWatchWait), nil
}
