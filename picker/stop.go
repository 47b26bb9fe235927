package picker

import (
	"errors"
	"time"
)

// stopMargin is the time before the stop in which a request is no longer started, as a multiple of its mean service time.
const stopMargin = 2

// ErrStopping reports a request that is unlikely to be answered before this entry stops.
var ErrStopping = errors.New("this entry stops before the request is likely to be answered")

// Stop announces when this entry stops. From now on, Acquire fails with ErrStopping for requests that are unlikely to be
// answered by then, including those that already wait.
func (p *Picker) Stop(by time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopBy.IsZero() {
		p.stopBy = by
		close(p.stopping)
	}
}

// stopLimit returns the latest time at which the request may be started before this entry stops, or false if the stop doesn't
// limit it. The caller must hold p.mu.
func (p *Picker) stopLimit(job Job) (time.Time, bool) {
	if p.stopBy.IsZero() || !job.Deadline.After(p.stopBy) {
		return time.Time{}, false
	}
	return p.stopBy.Add(-stopMargin * max(p.serviceTimes[job.Route.Name], minServiceTime)), true
}

// latestStart returns the latest time at which a queued request may be started, and the error if it gets no slot by then. The
// caller must hold p.mu.
func (p *Picker) latestStart(job Job) (time.Time, error) {
	if limit, ok := p.stopLimit(job); ok && limit.Before(job.StartBy) {
		return limit, ErrStopping
	}
	return job.StartBy, ErrOverloaded
}

// waitLimit returns how long the request may wait for a slot, a channel that is closed when this changes, and the error if it
// gets no slot by then.
func (p *Picker) waitLimit(job Job) (limit time.Duration, changed <-chan struct{}, late error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	startBy, late := p.latestStart(job)
	if p.stopBy.IsZero() {
		changed = p.stopping
	}
	return startBy.Sub(p.config.Clock.Now()), changed, late
}
