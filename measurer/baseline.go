package measurer

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// reportInterval is the age that a reported load reaches.
	reportInterval = 100 * time.Millisecond
	// backlogLimit bounds the requests that wait at one upstream.
	backlogLimit = 128
)

// waiting is a request in a baseline's queue.
type waiting struct {
	request  eelgrassbeam.Request
	deadline time.Time
	done     func()
}

// fifo is one queue in order of arrival before all slots of the site.
type fifo struct {
	*site
	queue []waiting
	limit int
	free  []eelgrassbeam.UpstreamID
}

func newFIFO(s *site, scenario Scenario) *fifo {
	f := &fifo{site: s, limit: queueLimit * eelgrassbeam.RankCount}
	for _, upstream := range scenario.upstreams() {
		for range scenario.SlotsPerUpstream {
			f.free = append(f.free, upstream.ID)
		}
	}
	return f
}

func (f *fifo) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	if len(f.queue) >= f.limit {
		return
	}
	f.queue = append(f.queue, waiting{request, deadline, done})
	f.dispatch()
}

func (f *fifo) dispatch() {
	for len(f.queue) > 0 && len(f.free) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		if f.now.After(next.deadline) {
			continue
		}
		upstream := f.free[0]
		f.free = f.free[1:]
		f.serve(upstream, next.request.Rank, func(time.Duration) {
			f.free = append(f.free, upstream)
			next.done()
			f.dispatch()
		})
	}
}

// entries sends each request at once to the better of two upstreams by the load
// that they last reported; an upstream runs its slots and queues the rest.
type entries struct {
	*site
	backends []*backend
}

type backend struct {
	id       eelgrassbeam.UpstreamID
	running  int
	queue    []waiting
	reported int
}

func newEntries(s *site, scenario Scenario) *entries {
	e := &entries{site: s}
	for _, upstream := range scenario.upstreams() {
		e.backends = append(e.backends, &backend{id: upstream.ID})
	}
	s.every(reportInterval, func() {
		for _, b := range e.backends {
			b.reported = b.running + len(b.queue)
		}
	})
	return e
}

func (e *entries) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	first := e.backends[e.generator.random.IntN(len(e.backends))]
	second := e.backends[e.generator.random.IntN(len(e.backends))]
	if second.reported < first.reported {
		first = second
	}
	if len(first.queue) >= backlogLimit {
		return
	}
	first.queue = append(first.queue, waiting{request, deadline, done})
	e.run(first)
}

func (e *entries) run(b *backend) {
	for len(b.queue) > 0 && b.running < e.slots {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if e.now.After(next.deadline) {
			continue
		}
		b.running++
		e.serve(b.id, next.request.Rank, func(time.Duration) {
			b.running--
			next.done()
			e.run(b)
		})
	}
}
