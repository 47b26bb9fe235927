// Package picker selects an upstream for each request and queues requests while all eligible upstreams are full.
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
	"github.com/eelgrassbeam/eelgrassbeam/teamrotator"
)

var (
	// ErrNoUpstream reports that no upstream of the service is eligible for the request.
	ErrNoUpstream = errors.New("no eligible upstream for the request")
	// ErrOverloaded reports that no slot became free before the request's StartBy time, or that none is expected to.
	ErrOverloaded = errors.New("all eligible upstreams are at capacity")
)

// Config configures a Picker.
type Config struct {
	Self  eelgrassbeam.Entry
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	Views eelgrassbeam.ViewSource
	// Entries returns the sorted IDs of the live entries, including this one.
	Entries func() []eelgrassbeam.EntryID
}

// Job describes a request that needs an upstream.
type Job struct {
	Request eelgrassbeam.RequestID
	Route   *eelgrassbeam.PathRoute
	Service eelgrassbeam.ServiceName
	// Team is the team that has sent the request, nil for none.
	Team *eelgrassbeam.Team
	// Key is the affinity key of the request; empty for none.
	Key string
	// StartBy is the latest time at which the request may be sent to an upstream.
	StartBy time.Time
	// Deadline is when the request ends, answered or not.
	Deadline time.Time
	// Tried holds the upstreams of earlier attempts, which are not selected again.
	Tried []eelgrassbeam.UpstreamID
}

// priority returns the priority of the request, 0 being the most urgent.
func (j Job) priority() int { return j.Team.PriorityOn(j.Route) }

// allows reports whether an upstream of the region may run the request: where route and team are both bound to regions, both
// have to allow it.
func (j Job) allows(region eelgrassbeam.RegionID) bool {
	return j.Route.Allows(region) && j.Team.Allows(region)
}

// Picker selects upstreams and queues requests. It is safe for concurrent use; mu guards all of its state.
type Picker struct {
	config Config

	mu           sync.Mutex
	view         *eelgrassbeam.View
	viewSince    time.Time
	upstreams    map[eelgrassbeam.UpstreamID]*state
	services     map[eelgrassbeam.ServiceName]*service
	serviceTimes map[string]time.Duration // mean service time by route name
	scratch      []candidate              // buffer reused by each selection
	// entries are the live entries as of entriesAt; entriesVersion increases when they change.
	entries        []eelgrassbeam.EntryID
	entriesAt      time.Time
	entriesVersion uint64
	// stopBy is when this entry stops; zero until Stop is called, which closes stopping.
	stopBy   time.Time
	stopping chan struct{}
}

// service holds the upstreams of one service and its queue of waiting requests.
type service struct {
	upstreams []*state
	// orderCache holds the rendezvous order of the upstreams by affinity key; it is cleared when a new view is applied.
	orderCache map[affinityKey][]*state
	waiting    []*waiter
	// waitingCounts counts the waiting requests by priority and team, rotators hold the turns of the teams by priority.
	waitingCounts map[waitingKey]int
	rotators      map[int]*teamrotator.Rotator
	// ignoresTeams serves requests of one priority in order of arrival; for tests only.
	ignoresTeams bool
	// serviceTime is the mean service time over all upstreams of the service.
	serviceTime time.Duration
	// sharesMachines reports whether an upstream has reported the pace of work on its machine. othersPerSlot is the mean load
	// of other entries' requests, as reports show it.
	sharesMachines bool
	othersPerSlot  float64
	// mostUrgent is the most urgent priority of requests to the service.
	mostUrgent int
	// completions counts recent responses, from which the drain rate of the queue is estimated.
	completions rate
}

// waiter is a queued request.
type waiter struct {
	job      Job
	queuedAt time.Time
	slot     chan *Slot
	assigned bool
}

// New returns a Picker without upstreams. They are loaded from the view on the first use.
func New(config Config) *Picker {
	return &Picker{
		config: config, upstreams: make(map[eelgrassbeam.UpstreamID]*state),
		services: make(map[eelgrassbeam.ServiceName]*service), serviceTimes: make(map[string]time.Duration),
		stopping: make(chan struct{}),
	}
}

// Run calls Refresh periodically until the context is done, to assign slots that become available without a Release:
// when an ejection ends, a load report ages, cold tokens are refilled or the view changes. It returns nil.
func (p *Picker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.Clock.After(refreshInterval):
			p.Refresh()
		}
	}
}

// Refresh applies the current view and assigns free slots to queued requests.
func (p *Picker) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyView()
	for _, s := range p.services {
		p.assignSlots(s)
	}
}

// Acquire waits for a slot at an upstream. It fails with ErrNoUpstream, ErrOverloaded, ErrStopping or the context's cause;
// the request has then not been sent.
func (p *Picker) Acquire(ctx context.Context, job Job) (*Slot, error) {
	p.mu.Lock()
	p.applyView()
	now := p.config.Clock.Now()
	s := p.service(job.Service)
	if limit, ok := p.stopLimit(job); ok && now.After(limit) {
		p.mu.Unlock()
		return nil, ErrStopping
	}
	slot, err := p.tryAcquire(s, job, now)
	if slot != nil || err != nil {
		p.mu.Unlock()
		return slot, err
	}
	if startBy, late := p.latestStart(job); now.Add(p.estimatedWait(s, job)).After(startBy) {
		p.mu.Unlock()
		return nil, late
	}
	w := &waiter{job: job, queuedAt: now, slot: make(chan *Slot, 1)}
	s.enqueue(w)
	p.mu.Unlock()
	return p.await(ctx, s, w)
}

// CountNotices returns the number of upstreams in the view that say so of themselves.
func (p *Picker) CountNotices(kind NoticeKind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, count := p.config.Clock.Now(), 0
	for _, s := range p.services {
		for _, u := range s.upstreams {
			if u.says(kind, now) {
				count++
			}
		}
	}
	return count
}

// ServiceTime returns the mean service time of the route's recent requests; zero before the first response.
func (p *Picker) ServiceTime(route *eelgrassbeam.PathRoute) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTimes[route.Name]
}

// tryAcquire returns a slot, nil if the request should wait for one, or ErrNoUpstream. A request waits for the end of a
// pause before StartBy if all usable upstreams have asked for one. A request also waits if a full
// upstream that may be overcommitted is estimated to respond sooner than any free one and a Refresh before StartBy
// can still assign a slot. The caller must hold p.mu.
func (p *Picker) tryAcquire(s *service, job Job, now time.Time) (*Slot, error) {
	candidates := p.candidates(s, job, now)
	if len(candidates) == 0 {
		if wait := p.pauseWait(s, job, now); wait > 0 && now.Add(wait).Before(job.StartBy) {
			return nil, nil
		}
		return nil, ErrNoUpstream
	}
	var best, fullOvercommit *candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.hasCapacity && (best == nil || c.cost < best.cost):
			best = c
		case !c.hasCapacity && c.mayOvercommit && (fullOvercommit == nil || c.cost < fullOvercommit.cost):
			fullOvercommit = c
		}
	}
	if best == nil || fullOvercommit != nil && fullOvercommit.cost < best.cost && now.Add(refreshInterval).Before(job.StartBy) {
		return nil, nil
	}
	return p.reserve(s, best, job, now), nil
}

// candidate is an upstream that is eligible for a request.
type candidate struct {
	state *state
	// position is the upstream's position among the eligible ones in the key's rendezvous order, from 0.
	position    int
	load        float64
	cost        float64
	hasCapacity bool
	// mayOvercommit reports whether the upstream takes selection.allowance requests above its slots for the key.
	mayOvercommit bool
}

// selection holds the inputs that all candidates of one job share.
type selection struct {
	job Job
	now time.Time
	// serviceTime is the mean service time of the route's requests, in nanoseconds.
	serviceTime float64
	// allowance is the number of requests that an upstream with mayOvercommit takes above its slots.
	allowance float64
	// object is the hash of the requested object; zero if upstreams cache nothing for the request.
	object uint64
}

func (p *Picker) selection(job Job, now time.Time) selection {
	sel := selection{job: job, now: now, serviceTime: float64(max(p.serviceTimes[job.Route.Name], minServiceTime)), allowance: queueAllowance, object: objectHash(job)}
	if p.service(job.Service).mostUrgent < job.priority() {
		sel.allowance = lowPriorityQueueAllowance
	}
	return sel
}

// candidates returns the eligible upstreams in the key's rendezvous order. The result is valid until the next call.
func (p *Picker) candidates(s *service, job Job, now time.Time) []candidate {
	found, sel := p.scratch[:0], p.selection(job, now)
	for _, u := range s.rendezvousOrder(job) {
		if p.isEligible(u, job, now) {
			found = append(found, candidate{state: u, position: len(found)})
		}
	}
	for i := range found {
		p.estimate(s, &found[i], sel)
	}
	p.scratch = found
	return found
}

// isEligible reports whether the upstream may be selected for the job, whatever its load.
func (p *Picker) isEligible(u *state, job Job, now time.Time) bool {
	return !u.says(NoticePause, now) && p.isUsable(u, job, now)
}

// isUsable reports whether the upstream may be selected for the job, now or after the pause that it asked for.
func (p *Picker) isUsable(u *state, job Job, now time.Time) bool {
	return !u.isLeaving() && !u.isEjected(now) && !u.isEvacuated &&
		job.allows(u.upstream.Region) && !slices.Contains(job.Tried, u.upstream.ID) &&
		p.mayUse(u, now)
}

// estimate sets the candidate's load, cost and hasCapacity. The cost is the estimated time to the response in
// nanoseconds. An upstream with mayOvercommit has capacity for the selection's allowance above its slots.
func (p *Picker) estimate(s *service, c *candidate, sel selection) {
	u := c.state
	isCold := u.isCold(sel.now)
	c.load = u.load(sel.now)
	slots := float64(u.slots())
	limit := slots
	isCached := sel.object != 0 && (c.position < preferredCount || u.hasCached(sel.object, sel.now))
	c.mayOvercommit = isCached && c.position < overcommitCount
	if c.mayOvercommit {
		limit += sel.allowance
	}
	share, isRationed := p.ration(u, sel.now)
	c.hasCapacity = c.load+1 <= limit && (!isRationed || u.refill(sel.now, share.perSecond) >= 1)
	serviceTime := sel.serviceTime * u.slowness(s) * u.paceAt(sel.now)
	if !isCached && sel.job.Route.Sticky {
		serviceTime *= cacheMissFactor
	}
	if isCold {
		serviceTime *= coldFactor
	}
	load := c.load
	if s.sharesMachines {
		load = float64(u.inFlight) + s.expectedOthers(u, sel.now)
	}
	queue := max(0, load+1-slots) / slots * serviceTime
	c.cost = serviceTime*(1+float64(min(c.position, preferredCount))*positionPenalty) + queue + load/slots*serviceTime*loadWeight + float64(u.networkCost)
}

// networkCostTo returns the cost of the network path to the upstream, as time.
func (p *Picker) networkCostTo(upstream eelgrassbeam.Upstream) time.Duration {
	switch {
	case upstream.Zone == p.config.Self.Zone:
		return 0
	case upstream.Region == p.config.Self.Region:
		return crossZoneCost
	default:
		return crossRegionCost
	}
}

// reserve takes a slot at the candidate for the job. The caller must hold p.mu.
func (p *Picker) reserve(s *service, c *candidate, job Job, now time.Time) *Slot {
	u := c.state
	if _, isRationed := p.ration(u, now); isRationed {
		u.tokens--
	}
	u.inFlight++
	u.markCached(objectHash(job), now)
	slot := &Slot{
		Upstream: u.upstream, Load: c.load, Position: c.position, ViewRevision: p.view.UpstreamsRevision, ViewAge: now.Sub(p.viewSince),
		picker: p, state: u, service: s, job: job, acquiredAt: now,
	}
	if !u.reportedAt.IsZero() {
		slot.ReportAge = now.Sub(u.reportedAt)
	}
	return slot
}

// assignSlots assigns free slots to queued requests in order of priority. The caller must hold p.mu.
func (p *Picker) assignSlots(s *service) {
	now := p.config.Clock.Now()
	for _, w := range s.order() {
		slot, err := p.tryAcquire(s, w.job, now)
		if slot == nil || err != nil {
			continue
		}
		w.assigned = true
		slot.Waited = now.Sub(w.queuedAt)
		w.slot <- slot
		s.served(w.job)
		s.left(w.job)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.assigned })
}

func (s *service) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *waiter) int {
		if a.job.priority() != b.job.priority() {
			return cmp.Compare(a.job.priority(), b.job.priority())
		}
		return -1 // after all others of the same priority
	})
	s.waiting = slices.Insert(s.waiting, at, w)
	s.joined(w.job)
}

func (s *service) remove(w *waiter) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.left(w.job)
	}
}

// applyView loads the current view if it has changed. The state of an upstream is kept unless it has restarted or moved
// to another address. The caller must hold p.mu.
func (p *Picker) applyView() {
	view := p.config.Views.View()
	if view == p.view {
		return
	}
	if view.Routing != nil && (p.view == nil || view.Routing != p.view.Routing) {
		p.updatePriorities(view.Routing)
	}
	p.view, p.viewSince = view, p.config.Clock.Now()
	states := make(map[eelgrassbeam.UpstreamID]*state, len(view.Upstreams))
	for _, s := range p.services {
		s.upstreams = s.upstreams[:0]
		clear(s.orderCache)
	}
	for _, upstream := range view.Upstreams {
		u := p.upstreams[upstream.ID]
		if u == nil || u.upstream.Started != upstream.Started || u.upstream.Address != upstream.Address {
			u = newState(upstream)
		}
		u.upstream, u.networkCost, u.isEvacuated = upstream, p.networkCostTo(upstream), view.IsEvacuated(upstream.Zone)
		states[upstream.ID] = u
		s := p.service(upstream.Service)
		s.upstreams = append(s.upstreams, u)
	}
	for id, u := range p.upstreams {
		if states[id] == nil && !u.leavingSince.IsZero() && p.viewSince.Sub(u.leavingSince) < leavingRetention {
			states[id] = u
		}
	}
	p.upstreams = states
}

func (p *Picker) service(name eelgrassbeam.ServiceName) *service {
	found := p.services[name]
	if found == nil {
		found = &service{
			orderCache: make(map[affinityKey][]*state), waitingCounts: make(map[waitingKey]int), rotators: make(map[int]*teamrotator.Rotator),
		}
		p.services[name] = found
	}
	return found
}

// decayFactor returns the exponential decay factor of a value of the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
