// Package picker chooses the upstream of each request and holds requests back while the fitting upstreams are full.
package picker

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

var (
	// ErrNoUpstream reports that no upstream of the service may take the request.
	ErrNoUpstream = errors.New("no upstream may take the request")
	// ErrOverloaded reports that no slot came free in time.
	ErrOverloaded = errors.New("all fitting upstreams are full")
)

// Config configures a Picker.
type Config struct {
	Self  eelgrassbeam.Entry
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	Views eelgrassbeam.ViewSource
	// Entries returns the IDs of the live entries, this one included, sorted.
	Entries func() []eelgrassbeam.EntryID
}

// Job is a request that needs an upstream.
type Job struct {
	Request eelgrassbeam.RequestID
	Route   *eelgrassbeam.PathRoute
	Service eelgrassbeam.ServiceName
	// Key names the object that the request concerns; empty for none.
	Key string
	// StartBy is the latest time at which the request may be handed to an upstream.
	StartBy time.Time
	// Tried are the upstreams that an earlier attempt went to.
	Tried []eelgrassbeam.UpstreamID
}

// Picker is safe for concurrent use. One lock guards all its tables.
type Picker struct {
	config Config

	mu        sync.Mutex
	view      *eelgrassbeam.View
	viewSince time.Time
	upstreams map[eelgrassbeam.UpstreamID]*state
	services  map[eelgrassbeam.ServiceName]*service
	durations map[string]time.Duration // by route name: time that an upstream takes
	scratch   []candidate              // reused by each choice
}

// service is one service's upstreams and the requests that wait for one.
type service struct {
	upstreams []*state
	// orders holds the upstreams by key in the order of its homes, while the upstreams stay the same.
	orders  map[orderKey][]*state
	waiting []*ticket
	// latency is the mean time that an upstream of the service takes.
	latency time.Duration
	// served is when slots of the service came free lately, for an estimate of the drain rate.
	served rate
}

// ticket is a request that waits.
type ticket struct {
	job   Job
	since time.Time
	slot  chan *Slot
	done  bool
}

// New returns a Picker without upstreams.
func New(config Config) *Picker {
	return &Picker{
		config: config, upstreams: make(map[eelgrassbeam.UpstreamID]*state),
		services: make(map[eelgrassbeam.ServiceName]*service), durations: make(map[string]time.Duration),
	}
}

// Run hands out slots that come free by time alone until the context ends.
func (p *Picker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.Clock.After(retryInterval):
			p.Refresh()
		}
	}
}

// Refresh takes over the current view and hands out what it frees.
func (p *Picker) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopt()
	for _, s := range p.services {
		p.serveWaiting(s)
	}
}

// Acquire waits for a slot at an upstream. An error means that the request was not handed on.
func (p *Picker) Acquire(ctx context.Context, job Job) (*Slot, error) {
	p.mu.Lock()
	p.adopt()
	now := p.config.Clock.Now()
	s := p.service(job.Service)
	slot, err := p.try(s, job, now)
	if slot != nil || err != nil {
		p.mu.Unlock()
		return slot, err
	}
	if wait := p.expectedWait(s, job); now.Add(wait).After(job.StartBy) {
		p.mu.Unlock()
		return nil, ErrOverloaded
	}
	t := &ticket{job: job, since: now, slot: make(chan *Slot, 1)}
	s.enqueue(t)
	p.mu.Unlock()
	select {
	case slot := <-t.slot:
		return slot, nil
	case <-p.config.Clock.After(job.StartBy.Sub(now)):
		return p.abandon(s, t, ErrOverloaded)
	case <-ctx.Done():
		return p.abandon(s, t, context.Cause(ctx))
	}
}

// abandon takes the ticket out of the queue; a slot that was given meanwhile is used.
func (p *Picker) abandon(s *service, t *ticket, cause error) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.done {
		return <-t.slot, nil
	}
	s.remove(t)
	return nil, cause
}

// RetryAfter returns when a caller that is refused now should come back: when the requests that wait now are served.
func (p *Picker) RetryAfter(job Job) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(job.Service)
	return min(max(p.expectedWait(s, job), s.latency, minRetryAfter), maxRetryAfter)
}

// Duration returns the time that upstreams take for the route's requests lately; zero where none is known.
func (p *Picker) Duration(route *eelgrassbeam.PathRoute) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.durations[route.Name]
}

// expectedWait estimates the wait from the requests that go first and the rate at which slots come free.
func (p *Picker) expectedWait(s *service, job Job) time.Duration {
	ahead := 0
	for _, t := range s.waiting {
		if t.job.Route.Priority <= job.Route.Priority {
			ahead++
		}
	}
	perSecond := s.served.perSecond(p.config.Clock.Now())
	if perSecond < minServedRate {
		return 0 // too little is known to refuse by it
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// try returns a slot, nil if all fitting upstreams are full, or ErrNoUpstream. It needs p.mu.
func (p *Picker) try(s *service, job Job, now time.Time) (*Slot, error) {
	candidates := p.candidates(s, job, now)
	if len(candidates) == 0 {
		return nil, ErrNoUpstream
	}
	var best, fullHome *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.hasRoom && (best == nil || c.cost < best.cost):
			best = c
		case !c.hasRoom && c.isHome && (fullHome == nil || c.cost < fullHome.cost):
			fullHome = c
		}
	}
	if best == nil || fullHome != nil && fullHome.cost < best.cost && now.Add(retryInterval).Before(job.StartBy) {
		return nil, nil
	}
	return p.take(s, best, job, now), nil
}

// candidate is an upstream that may take a request.
type candidate struct {
	state *state
	// order is the upstream's place among the key's homes, 0 first.
	order   int
	load    float64
	cost    float64
	hasRoom bool
	// isHome tells that the upstream probably knows the job's object.
	isHome bool
}

// choice is what holds for all candidates of one job.
type choice struct {
	job Job
	now time.Time
	// work is the time that an upstream takes for the route's requests.
	work float64
	// extra is the room above an upstream's slots at homes.
	extra float64
	// object identifies what the request concerns; zero for none that upstreams remember.
	object uint64
}

func (p *Picker) choice(job Job, now time.Time) choice {
	c := choice{job: job, now: now, work: float64(max(p.durations[job.Route.Name], minWork)), extra: extraRoom, object: objectOf(job)}
	if p.isBehind(job) {
		c.extra = extraRoomBehind
	}
	return c
}

// candidates returns the upstreams that may take the job, the key's first home first. The result holds until the next call.
func (p *Picker) candidates(s *service, job Job, now time.Time) []candidate {
	found, c := p.scratch[:0], p.choice(job, now)
	for _, u := range s.order(job) {
		if p.mayTake(u, job, now) {
			found = append(found, candidate{state: u, order: len(found)})
		}
	}
	for i := range found {
		p.weigh(s, &found[i], c)
	}
	p.scratch = found
	return found
}

// mayTake tells whether the upstream may get the job at all.
func (p *Picker) mayTake(u *state, job Job, now time.Time) bool {
	return u.upstream.State == eelgrassbeam.InstanceLive && !u.isEjected(now) && !u.isEvacuated &&
		job.Route.Allows(u.upstream.Region) && !slices.Contains(job.Tried, u.upstream.ID) &&
		(!u.isCold(now) || p.isColdHome(u, now))
}

// weigh estimates the time until the answer and whether the upstream has room, a home for extra requests above its slots.
func (p *Picker) weigh(s *service, found *candidate, c choice) {
	u := found.state
	isCold := u.isCold(c.now)
	found.load = u.load(c.now)
	slots := float64(u.slots())
	room := slots
	isWarm := c.object != 0 && (found.order < homeCount || u.knows(c.object, c.now))
	found.isHome = isWarm && found.order < extraHomes
	if found.isHome {
		room += c.extra
	}
	found.hasRoom = found.load+1 <= room && (!isCold || u.coldTokens(c.now, p.coldRate(u)) >= 1)
	work := c.work * u.speed(s)
	if !isWarm && c.job.Route.Sticky {
		work *= strangerFactor
	}
	if isCold {
		work *= coldFactor
	}
	queue := max(0, found.load+1-slots) / slots * work
	found.cost = work*(1+float64(min(found.order, homeCount))*orderStep) + queue + found.load/slots*work*loadWeight + float64(u.distance)
}

// isBehind tells whether the service has a more urgent route than the job's.
func (p *Picker) isBehind(job Job) bool {
	for i := range p.view.Routing.Routes {
		route := &p.view.Routing.Routes[i]
		for _, share := range route.Shares {
			if share.Service == job.Service && route.Priority < job.Route.Priority {
				return true
			}
		}
	}
	return false
}

// distanceTo returns what the way to the upstream costs, as time.
func (p *Picker) distanceTo(upstream eelgrassbeam.Upstream) time.Duration {
	switch {
	case upstream.Zone == p.config.Self.Zone:
		return 0
	case upstream.Region == p.config.Self.Region:
		return zoneDistance
	default:
		return regionDistance
	}
}

// take books the request at the upstream. It needs p.mu.
func (p *Picker) take(s *service, c *candidate, job Job, now time.Time) *Slot {
	u := c.state
	if u.isCold(now) {
		u.coldAllowance--
	}
	u.inFlight++
	u.remember(objectOf(job), now)
	slot := &Slot{
		Upstream: u.upstream, Load: c.load, Order: c.order, ViewRevision: p.view.UpstreamsRevision, ViewAge: now.Sub(p.viewSince),
		picker: p, state: u, service: s, job: job, since: now,
	}
	if !u.reportedAt.IsZero() {
		slot.ReportAge = now.Sub(u.reportedAt)
	}
	return slot
}

// serveWaiting hands slots to waiting requests, the most urgent first. It needs p.mu.
func (p *Picker) serveWaiting(s *service) {
	now := p.config.Clock.Now()
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		slot, err := p.try(s, t.job, now)
		if slot == nil || err != nil {
			kept = append(kept, t)
			continue
		}
		t.done = true
		slot.Waited = now.Sub(t.since)
		t.slot <- slot
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

func (s *service) enqueue(t *ticket) {
	at, _ := slices.BinarySearchFunc(s.waiting, t, func(a, b *ticket) int {
		if a.job.Route.Priority != b.job.Route.Priority {
			return cmp.Compare(a.job.Route.Priority, b.job.Route.Priority)
		}
		return -1 // behind all of its priority
	})
	s.waiting = slices.Insert(s.waiting, at, t)
}

func (s *service) remove(t *ticket) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// adopt takes over the current view. It needs p.mu.
func (p *Picker) adopt() {
	view := p.config.Views.View()
	if view == p.view {
		return
	}
	p.view, p.viewSince = view, p.config.Clock.Now()
	known := make(map[eelgrassbeam.UpstreamID]*state, len(view.Upstreams))
	for _, s := range p.services {
		s.upstreams = s.upstreams[:0]
		clear(s.orders)
	}
	for _, upstream := range view.Upstreams {
		u := p.upstreams[upstream.ID]
		if u == nil || u.upstream.Started != upstream.Started || u.upstream.Address != upstream.Address {
			u = newState(upstream)
		}
		u.upstream, u.distance, u.isEvacuated = upstream, p.distanceTo(upstream), view.IsEvacuated(upstream.Zone)
		known[upstream.ID] = u
		s := p.service(upstream.Service)
		s.upstreams = append(s.upstreams, u)
	}
	p.upstreams = known
}

func (p *Picker) service(name eelgrassbeam.ServiceName) *service {
	found := p.services[name]
	if found == nil {
		found = &service{orders: make(map[orderKey][]*state)}
		p.services[name] = found
	}
	return found
}

// isColdHome tells whether this entry is one of those that may send to the upstream while it is cold. Its rate is split
// between them, so that it holds for all entries together without a message a request.
func (p *Picker) isColdHome(u *state, now time.Time) bool {
	if now.Sub(u.coldHomeAt) < coldHomeLife && !u.coldHomeAt.IsZero() {
		return u.isColdHome
	}
	rank, upstream := 0, string(u.upstream.ID)
	own := assigner.Score(upstream, p.config.Self.ID)
	for _, id := range p.config.Entries() {
		if id != p.config.Self.ID && assigner.Score(upstream, id) > own {
			rank++
		}
	}
	u.isColdHome, u.coldHomeAt = rank < coldHomes, now
	return u.isColdHome
}

func (p *Picker) coldRate(u *state) float64 {
	if p.view.Routing == nil {
		return 0
	}
	return p.view.Routing.Services[u.upstream.Service].ColdPerSecond / coldHomes
}

// decay returns what is left of a value after the age.
func decay(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
