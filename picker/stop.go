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

// latestStart returns the latest time at which the request may be sent to an upstream, and the error of one that comes too late.
// The caller must hold p.mu.
func (p *Picker) latestStart(job Job) (time.Time, error) {
	if p.stopBy.IsZero() || !job.Deadline.After(p.stopBy) {
		return job.StartBy, ErrOverloaded
	}
	byStop := p.stopBy.Add(-stopMargin * max(p.serviceTimes[job.Route.Name], minServiceTime))
	if job.StartBy.Before(byStop) {
		return job.StartBy, ErrOverloaded
	}
	return byStop, ErrStopping
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
