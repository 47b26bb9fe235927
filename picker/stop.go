package picker

import (
	"errors"
	"time"
)

// stopMargin is the number of mean service times that must be left to the end of a stop for a request to be started.
const stopMargin = 2

// ErrStopping reports a request that can't be expected to be answered before this entry stops.
var ErrStopping = errors.New("this entry stops before the request is likely to be answered")

// Stop makes requests fail with ErrStopping, those that wait included, once they can't be expected to be answered by the
// time.
func (p *Picker) Stop(by time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopBy.IsZero() {
		p.stopBy = by
		close(p.stopping)
	}
}

// stopLimit returns the latest time at which the request may be started before this entry stops, false if there is none. The
// caller must hold p.mu.
func (p *Picker) stopLimit(job Job) (time.Time, bool) {
	if p.stopBy.IsZero() || !job.Deadline.After(p.stopBy) {
		return time.Time{}, false
	}
	return p.stopBy.Add(-stopMargin * max(p.serviceTimes[job.Route.Name], minServiceTime)), true
}

// latestStart returns the latest time until which the request may wait for an upstream, and the error of one that gets none.
// The caller must hold p.mu.
func (p *Picker) latestStart(job Job) (time.Time, error) {
	if limit, ok := p.stopLimit(job); ok && limit.Before(job.StartBy) {
		return limit, ErrStopping
	}
	return job.StartBy, ErrOverloaded
}

// waitLimit returns how long the request may wait for a slot, a channel that is closed when that changes, and the error if
// it gets none.
func (p *Picker) waitLimit(job Job) (limit time.Duration, changed <-chan struct{}, late error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	startBy, late := p.latestStart(job)
	if p.stopBy.IsZero() {
		changed = p.stopping
	}
	return startBy.Sub(p.config.Clock.Now()), changed, late
}
