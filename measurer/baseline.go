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
	*site
	queue     []queuedRequest
	limit     int
	freeSlots []eelgrassbeam.UpstreamID
}

func newFIFO(s *site, scenario Scenario) *fifo {
	f := &fifo{site: s, limit: queueLimit * eelgrassbeam.RankCount}
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
	*site
	backends []*backend
}

type backend struct {
	id           eelgrassbeam.UpstreamID
	running      int
	queue        []queuedRequest
	reportedLoad int
}

func newTwoChoices(s *site, scenario Scenario) *twoChoices {
	t := &twoChoices{site: s}
	for _, upstream := range scenario.upstreams() {
		t.backends = append(t.backends, &backend{id: upstream.ID})
	}
	s.every(loadReportInterval, func() {
		for _, b := range t.backends {
			b.reportedLoad = b.running + len(b.queue)
		}
	})
	return t
}

func (t *twoChoices) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	first := t.backends[t.generator.random.IntN(len(t.backends))]
	second := t.backends[t.generator.random.IntN(len(t.backends))]
	if second.reportedLoad < first.reportedLoad {
		first = second
	}
	if len(first.queue) >= upstreamQueueLimit {
		return
	}
	first.queue = append(first.queue, queuedRequest{request, deadline, done})
	t.run(first)
}

func (t *twoChoices) run(b *backend) {
	for len(b.queue) > 0 && b.running < t.slots {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if t.now.After(next.deadline) {
			continue
		}
		b.running++
		t.serve(b.id, next.request.Rank, func(time.Duration) {
			b.running--
			next.done()
			t.run(b)
		})
	}
}
