package picker

import (
	"context"
	"time"
)

// RetryAfter returns the delay after which a rejected caller should retry: the longest of the estimated queueing delay of
// the job, the pause that all usable upstreams have asked for and the service's mean service time, bounded by
// minRetryAfter and maxRetryAfter.
func (p *Picker) RetryAfter(job Job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(job.Service)
	return min(max(p.estimatedWait(s, job), p.pauseWait(s, job, p.config.Clock.Now()), s.serviceTime, minRetryAfter), maxRetryAfter)
}

// estimatedWait estimates the queueing delay from the requests ahead in the queue and the rate at which slots
// become free, or tokens of upstreams with a rate if there are no others.
func (p *Picker) estimatedWait(s *service, job Job) time.Duration {
	ahead := s.ahead(job)
	now := p.config.Clock.Now()
	wait := p.rationWait(s, job, ahead, now)
	perSecond := s.completions.perSecond(now)
	if perSecond < minCompletionRate {
		return wait // too few samples to reject requests by
	}
	return max(wait, time.Duration(ahead/perSecond*float64(time.Second)))
}

// rationWait estimates how long the job waits if all upstreams that may be selected for it have a rate: until this
// entry's tokens suffice for it and the requests ahead. The caller must hold p.mu.
func (p *Picker) rationWait(s *service, job Job, ahead float64, now time.Time) time.Duration {
	perSecond, tokens := 0.0, 0.0
	for _, u := range s.upstreams {
		if !p.isEligible(u, job, now) {
			continue
		}
		share, isRationed := p.ration(u, now)
		if !isRationed {
			return 0
		}
		perSecond += share.perSecond
		tokens += max(0, u.refill(now, share.perSecond))
	}
	if perSecond == 0 {
		return 0
	}
	missing := max(0, ahead+1-tokens)
	return time.Duration(missing / perSecond * float64(time.Second))
}

// pauseWait returns the time until the first upstream may be selected for the job if all that are usable have asked for a
// pause; zero if one has not, or if none is usable. The caller must hold p.mu.
func (p *Picker) pauseWait(s *service, job Job, now time.Time) time.Duration {
	var wait time.Duration
	for _, u := range s.upstreams {
		if !p.isUsable(u, job, now) {
			continue
		}
		left := u.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// await waits until the waiter is assigned a slot.
func (p *Picker) await(ctx context.Context, s *service, w *waiter) (*Slot, error) {
	for {
		limit, changed, late := p.waitLimit(w.job)
		select {
		case slot := <-w.slot:
			return slot, nil
		case <-p.config.Clock.After(limit):
			return p.cancelWait(s, w, late)
		case <-changed:
		case <-ctx.Done():
			return p.cancelWait(s, w, context.Cause(ctx))
		}
	}
}

// cancelWait removes the waiter from the queue and returns cause. A slot that was assigned concurrently is returned
// instead.
func (p *Picker) cancelWait(s *service, w *waiter, cause error) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.assigned {
		return <-w.slot, nil
	}
	s.remove(w)
	return nil, cause
}
