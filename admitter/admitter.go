// Package admitter queues the requests of a site and decides which one runs next, and at which upstream.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// DefaultWaitShare is the maximum expected wait of a request, as a share of the time left until its deadline.
const DefaultWaitShare = 0.5

// Config configures an Admitter.
type Config struct {
	Service eelgrassbeam.Service
	// Weights scale the share that a team gets within a rank; a missing team has weight 1.
	Weights map[eelgrassbeam.TeamID]float64
	Clock   eelgrassbeam.Clock
	// WaitShare is the maximum expected wait of a request, as a share, 0 to 1, of the time left until its deadline;
	// zero means DefaultWaitShare. A request with a longer expected wait is refused at once.
	WaitShare float64
	// Log receives one line per decision; nil disables it.
	Log logrus.FieldLogger
	// Metrics count decisions; nil disables them.
	Metrics *Metrics
}

// Admitter queues the requests of one site and assigns them to free slots of its upstreams. It is safe for concurrent
// use.
type Admitter struct {
	config Config
	// service is the name of the service, which changes of the policy keep.
	service  eelgrassbeam.ServiceName
	disabled disabledGuards

	mu          sync.Mutex
	ranks       [eelgrassbeam.RankCount]*rankState
	upstreams   upstreamSet
	serviceTime mean
	lastAdvance time.Time
	closed      bool
	// holdAdded is signalled when an upstream is held after a failed, shed or abandoned request.
	holdAdded chan struct{}
}

// disabledGuards selects the rules that are turned off, so that tests can show the effect of each rule.
type disabledGuards struct {
	floors, fairness, earlyRefusal, failureHold, reserve bool
}

// Ticket is a submitted request.
type Ticket struct {
	request  eelgrassbeam.Request
	rank     *rankState
	team     *teamQueue
	queued   time.Time
	deadline time.Time
	notify   func(*Slot, error)
}

// New returns an Admitter without upstreams.
func New(config Config) *Admitter {
	if config.WaitShare == 0 {
		config.WaitShare = DefaultWaitShare
	}
	a := &Admitter{config: config, service: config.Service.Name, lastAdvance: config.Clock.Now(), holdAdded: make(chan struct{}, 1)}
	for i, rank := range eelgrassbeam.Ranks() {
		policy := config.Service.Policy(rank)
		a.ranks[i] = &rankState{rank: rank, floor: policy.Floor, queue: newFairQueue(policy.QueueLimit, config.Weights)}
	}
	return a
}

// Admit waits until the request gets a slot. Every error means that the request was not run.
func (a *Admitter) Admit(ctx context.Context, request eelgrassbeam.Request, deadline time.Time) (*Slot, error) {
	type result struct {
		slot *Slot
		err  error
	}
	results := make(chan result, 1)
	ticket := a.Submit(request, deadline, func(slot *Slot, err error) { results <- result{slot, err} })
	select {
	case r := <-results:
		return r.slot, r.err
	default:
	}
	var cause error
	select {
	case r := <-results:
		return r.slot, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-a.config.Clock.After(deadline.Sub(a.config.Clock.Now())):
		cause = ErrDeadline
	}
	if a.withdraw(ticket, cause) {
		return nil, cause
	}
	r := <-results
	if r.slot != nil {
		r.slot.Release(Result{Outcome: OutcomeUnused})
	}
	return nil, cause
}

// Submit queues the request and calls notify exactly once: with a slot, or with an error, which means that the
// request was not run. notify may be called before Submit returns and must not block.
func (a *Admitter) Submit(request eelgrassbeam.Request, deadline time.Time, notify func(*Slot, error)) *Ticket {
	ticket := &Ticket{request: request, deadline: deadline, notify: notify}
	a.mu.Lock()
	now := a.advance()
	ticket.queued = now
	ticket.rank = a.ranks[request.Rank.Index()]
	var decided []decision
	if err := a.enqueue(ticket, now, &decided); err != nil {
		decided = append(decided, decision{ticket: ticket, err: err})
	} else {
		decided = a.dispatch(now, decided)
	}
	a.mu.Unlock()
	a.notifyAll(decided)
	return ticket
}

// Load returns the current load of the site.
func (a *Admitter) Load() eelgrassbeam.SiteLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := eelgrassbeam.SiteLoad{Slots: a.upstreams.slots(), InProgress: a.upstreams.inProgress()}
	for i, rank := range a.ranks {
		load.Waiting += rank.queue.length
		load.RankWaiting[i] = rank.queue.length
	}
	return load
}

// ExpectedWait returns the expected wait of a new request of the rank and team, as used to decide on its admission.
func (a *Admitter) ExpectedWait(rank eelgrassbeam.Rank, team eelgrassbeam.TeamID) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	return a.expectedWait(a.ranks[rank.Index()], team)
}

// SetUpstreams replaces the set of upstreams. An upstream that is absent, leaving, failed or without slots gets no
// new work; its requests in progress continue. Without any slot left, all waiting requests are refused.
func (a *Admitter) SetUpstreams(set []UpstreamSlots) {
	a.mu.Lock()
	now := a.advance()
	a.upstreams.replace(set, now)
	var decided []decision
	if a.upstreams.slots() == 0 {
		decided = a.refuseWaiting(ErrNoUpstream)
	} else {
		decided = a.dispatch(now, nil)
	}
	a.mu.Unlock()
	a.notifyAll(decided)
}

// Close refuses all waiting and later requests with ErrClosed; requests in progress continue.
func (a *Admitter) Close() {
	a.mu.Lock()
	a.closed = true
	decided := a.refuseWaiting(ErrClosed)
	a.mu.Unlock()
	a.notifyAll(decided)
}

func (a *Admitter) enqueue(ticket *Ticket, now time.Time, decided *[]decision) error {
	switch {
	case a.closed:
		return ErrClosed
	case a.upstreams.slots() == 0:
		return ErrNoUpstream
	case !ticket.deadline.After(now):
		return ErrDeadline
	}
	if !a.disabled.earlyRefusal && a.wouldMissDeadline(ticket, now) {
		return ErrDeadline
	}
	evicted, ok := ticket.rank.queue.push(ticket, !a.disabled.fairness)
	if !ok {
		return ErrQueueFull
	}
	if evicted != nil {
		*decided = append(*decided, decision{ticket: evicted, err: ErrQueueFull})
	}
	return nil
}

// dispatch assigns free slots to waiting requests and refuses those whose deadline has passed.
func (a *Admitter) dispatch(now time.Time, decided []decision) []decision {
	for {
		upstream := a.upstreams.choose(now, a.disabled.failureHold)
		if upstream == nil {
			return decided
		}
		rank, byFloor := a.nextRank()
		if rank == nil {
			return decided
		}
		ticket := rank.queue.pop(now)
		if !ticket.deadline.After(now) {
			decided = append(decided, decision{ticket: ticket, err: ErrDeadline})
			continue
		}
		decided = append(decided, decision{ticket: ticket, slot: a.start(ticket, upstream, byFloor, now)})
	}
}

func (a *Admitter) start(ticket *Ticket, upstream *upstreamState, byFloor bool, now time.Time) *Slot {
	upstream.start(now)
	ticket.rank.start(byFloor)
	return &Slot{
		Upstream: upstream.upstream, admitter: a, state: upstream,
		rank: ticket.rank, byFloor: byFloor, started: now,
	}
}

func (a *Admitter) refuseWaiting(err error) []decision {
	var decided []decision
	for _, rank := range a.ranks {
		for rank.queue.length > 0 {
			decided = append(decided, decision{ticket: rank.queue.pop(a.lastAdvance), err: err})
		}
	}
	return decided
}

// withdraw removes a waiting request from its queue. It returns false if the request was already decided.
func (a *Admitter) withdraw(ticket *Ticket, cause error) bool {
	a.mu.Lock()
	a.advance()
	ok := ticket.rank.queue.remove(ticket)
	a.mu.Unlock()
	if ok {
		a.record(decision{ticket: ticket, err: cause})
	}
	return ok
}

// advance updates the floor credits and slot shares of all ranks to the current time, which it returns.
func (a *Admitter) advance() time.Time {
	now := a.config.Clock.Now()
	elapsed := now.Sub(a.lastAdvance)
	if elapsed <= 0 {
		return now
	}
	a.lastAdvance = now
	slots := float64(a.upstreams.slots())
	higher := 0
	for _, rank := range a.ranks {
		rank.advance(elapsed, slots, higher)
		higher += rank.inProgress
	}
	return now
}
