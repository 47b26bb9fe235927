package measurer

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// loadReportInterval is the time between load reports of an upstream, which is also the maximum age of a report.
	loadReportInterval = 100 * time.Millisecond
	// upstreamQueueLimit is the maximum number of requests queued at one upstream.
	upstreamQueueLimit = 128
)

// queuedRequest is a request in the queue of a baseline. done is called when it has been answered.
type queuedRequest struct {
	request  eelgrassbeam.Request
	deadline time.Time
	done     func()
}

// fifo is a baseline with one FIFO queue for all slots of the site.
type fifo struct {
	*siteRun
	queue     []queuedRequest
	limit     int
	freeSlots []eelgrassbeam.UpstreamID
}

func newFIFO(s *siteRun, scenario Scenario) *fifo {
	f := &fifo{siteRun: s, limit: queueLimit * eelgrassbeam.RankCount}
	for _, upstream := range scenario.upstreams() {
		for range scenario.SlotsPerUpstream {
			f.freeSlots = append(f.freeSlots, upstream.ID)
		}
	}
	return f
}

func (f *fifo) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	if len(f.queue) >= f.limit {
		return
	}
	f.queue = append(f.queue, queuedRequest{request, deadline, done})
	f.dispatch()
}

func (f *fifo) dispatch() {
	for len(f.queue) > 0 && len(f.freeSlots) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if f.now.After(next.deadline) {
			continue
		}
		upstream := f.freeSlots[0]
		f.freeSlots = f.freeSlots[1:]
		f.serve(upstream, next.request.Rank, func(time.Duration) {
			f.freeSlots = append(f.freeSlots, upstream)
			next.done()
			f.dispatch()
		})
	}
}

// twoChoices is a baseline without a dispatcher. It sends each request on arrival to the less loaded of two random
// upstreams, by their last load reports. An upstream queues the requests that exceed its slots in order of arrival.
type twoChoices struct {
	*siteRun
	upstreams []*queueingUpstream
}

// queueingUpstream is an upstream with its own FIFO queue, and its load at the last report.
type queueingUpstream struct {
	id           eelgrassbeam.UpstreamID
	running      int
	queue        []queuedRequest
	reportedLoad int
}

func newTwoChoices(s *siteRun, scenario Scenario) *twoChoices {
	t := &twoChoices{siteRun: s}
	for _, upstream := range scenario.upstreams() {
		t.upstreams = append(t.upstreams, &queueingUpstream{id: upstream.ID})
	}
	s.every(loadReportInterval, func() {
		for _, u := range t.upstreams {
			u.reportedLoad = u.running + len(u.queue)
		}
	})
	return t
}

func (t *twoChoices) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	first := t.upstreams[t.generator.random.IntN(len(t.upstreams))]
	second := t.upstreams[t.generator.random.IntN(len(t.upstreams))]
	if second.reportedLoad < first.reportedLoad {
		first = second
	}
	if len(first.queue) >= upstreamQueueLimit {
		return
	}
	first.queue = append(first.queue, queuedRequest{request, deadline, done})
	t.run(first)
}

func (t *twoChoices) run(u *queueingUpstream) {
	for len(u.queue) > 0 && u.running < t.slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if t.now.After(next.deadline) {
			continue
		}
		u.running++
		t.serve(u.id, next.request.Rank, func(time.Duration) {
			u.running--
			next.done()
			t.run(u)
		})
	}
}
