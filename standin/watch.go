package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxWatchWait is the longest time that a watch waits for a change.
	maxWatchWait = time.Minute
	// sweepInterval is the time between sweeps for expired registrations while a watch waits.
	sweepInterval = 200 * time.Millisecond
)

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	era := p.era()
	p.addWaitingWatches(1)
	defer p.addWaitingWatches(-1)
	timeout := p.clock.After(wait)
	for ended := false; ; {
		changes, changed, faults, err := p.changesAfter(w, r.PathValue("kind"), after, era)
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
			writeJSON(w, http.StatusOK, toEvents(changes))
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

// changesAfter returns the changes after the revision as of the era, a channel that is closed at the next change of
// objects or faults, and the current faults. It sets the response's era.
func (p *Platform) changesAfter(w http.ResponseWriter, kind string, after eelgrassbeam.Revision, era uint64) (eelgrassbeam.ObjectEvents, <-chan struct{}, PlatformFaults, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sweep() {
		p.notifyWatches()
	}
	changes, err := p.objects.changes(kind, after, era)
	p.setEraLocked(w)
	return changes, p.changed, p.faults, err
}

// hang blocks until the client disconnects or the platform closes, then aborts the connection.
func (p *Platform) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-p.stop:
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objects.era
}

func (p *Platform) addWaitingWatches(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

func parseWatch(r *http.Request) (eelgrassbeam.Revision, time.Duration, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	wait, err := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
	if err != nil {
		return 0, 0, err
	}
	return eelgrassbeam.Revision(after), min(time.Duration(wait)*time.Millisecond, maxWatchWait), nil
}
