// Package dispatcher admits and sends requests to the upstreams of the sites that this entry dispatches for.
package dispatcher

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/recorder"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// Assigner decides which sites this entry may dispatch for.
type Assigner interface {
	// MayDispatch returns the time since which the entry dispatches for the site; false if it may not.
	MayDispatch(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) (time.Time, bool)
}

// Grants checks requests from other regions against the grants that this entry has given for its sites.
type Grants interface {
	// Spend uses one credit of the request's grant; false refuses the request.
	Spend(request eelgrassbeam.Request, now time.Time) bool
	// LeftQueue is called once a request that spent a credit has got a slot or was refused.
	LeftQueue(site eelgrassbeam.Site)
	// ExchangeEnded is called once that request has ended, with the sum of request and reply size in bytes.
	ExchangeEnded(site eelgrassbeam.Site, bytes int64)
}

// Config configures a Dispatcher.
type Config struct {
	Self          eelgrassbeam.Entry
	Incarnation   uint64
	Clock         eelgrassbeam.Clock
	Log           logrus.FieldLogger
	Decisions     *logger.Logger
	Registerer    prometheus.Registerer
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Assigner      Assigner
	Grants        Grants
	Recorder      *recorder.Recorder
	Upstreams     *upstream.Client
}

// Dispatcher serves the requests of the sites that the entry dispatches for. Lock order: Dispatcher.mu before the
// locks of a site's queue, ejector and slow starter.
type Dispatcher struct {
	config  Config
	metrics metrics
	probes  *probeStates

	exchangesStarted, inProgress atomic.Int64
	// exchangeCounts holds an *atomic.Int64 per site: the number of exchanges in progress.
	exchangeCounts sync.Map
	mu             sync.Mutex
	sites          map[eelgrassbeam.Site]*site
	siteCache      siteCache
	// leaving holds the upstreams that announced that they are leaving, with the time of the latest announcement.
	leaving map[eelgrassbeam.UpstreamID]time.Time
}

// New returns a Dispatcher without sites; Run adds them.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:  config,
		metrics: newMetrics(config.Registerer),
		sites:   make(map[eelgrassbeam.Site]*site),
		leaving: make(map[eelgrassbeam.UpstreamID]time.Time),
		probes:  newProbeStates(),
	}
}

// Forward implements eelgrassbeam.Forwarder at the site's dispatcher. Errors are reported in the reply; the returned
// error is always nil.
func (d *Dispatcher) Forward(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	reply := d.forward(ctx, request)
	reply.Dispatcher = d.config.Self.ID
	if s, ok := d.site(request.Site); ok {
		reply = reply.WithLoad(s.queue.Load())
	}
	return reply, nil
}

// Cancel implements sender.Receiver. It prevents an attempt that has not started from starting, and returns the
// recorded state of any other.
func (d *Dispatcher) Cancel(id eelgrassbeam.RequestID, incarnation uint64, age time.Duration) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply) {
	return d.config.Recorder.Cancel(id, incarnation, age)
}

func (d *Dispatcher) forward(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if request.Incarnation != 0 && request.Incarnation != d.config.Incarnation {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher)
	}
	if err := d.config.Recorder.Receive(request.AttemptID); err != nil {
		return receiveErrorReply(request.ID, err)
	}
	reply := d.admit(ctx, request)
	d.config.Recorder.Finish(request.AttemptID, reply)
	return reply
}

// receiveErrorReply returns the reply for an attempt that the recorder did not accept.
func receiveErrorReply(id eelgrassbeam.RequestID, err error) eelgrassbeam.Reply {
	switch {
	case errors.Is(err, recorder.ErrBarred):
		return eelgrassbeam.NotRun(id, eelgrassbeam.ReasonCancelled)
	case errors.Is(err, recorder.ErrFull):
		return eelgrassbeam.NotRun(id, eelgrassbeam.ReasonQueueFull)
	default:
		return eelgrassbeam.Unknown(id, eelgrassbeam.ReasonInProgress)
	}
}

// admit checks that the entry dispatches for the site and that a request from another region has a grant, then queues
// and runs the request. A refused request has not been sent to an upstream.
func (d *Dispatcher) admit(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	now := d.config.Clock.Now()
	if _, ok := d.config.Assigner.MayDispatch(d.config.Fleet.Fleet(), request.Site, now); !ok {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher)
	}
	s, ok := d.site(request.Site)
	if !ok {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher)
	}
	if d.config.Grants == nil || request.OriginRegion == d.config.Self.Region {
		return d.queue(ctx, request, s, now.Add(request.TimeLeft.Duration), func() {})
	}
	if !d.config.Grants.Spend(request, now) {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoCapacity)
	}
	leftQueue := func() { d.config.Grants.LeftQueue(request.Site) }
	reply := d.queue(ctx, request, s, now.Add(request.TimeLeft.Duration), leftQueue)
	d.config.Grants.ExchangeEnded(request.Site, request.Size()+reply.Size())
	return reply
}

// queue waits for a slot and runs the request; leftQueue is called once the request has a slot or was refused.
func (d *Dispatcher) queue(
	ctx context.Context, request eelgrassbeam.Request, s *site, deadline time.Time, leftQueue func(),
) eelgrassbeam.Reply {
	slot, err := s.queue.Admit(ctx, request, deadline)
	leftQueue()
	if err != nil {
		return d.refuse(request, err)
	}
	return d.exchange(ctx, request, s, slot, deadline)
}

func (d *Dispatcher) refuse(request eelgrassbeam.Request, err error) eelgrassbeam.Reply {
	reason := eelgrassbeam.ReasonCancelled
	switch {
	case errors.Is(err, admitter.ErrQueueFull):
		reason = eelgrassbeam.ReasonQueueFull
	case errors.Is(err, admitter.ErrDeadline), errors.Is(err, context.DeadlineExceeded):
		reason = eelgrassbeam.ReasonDeadline
	case errors.Is(err, admitter.ErrNoUpstream):
		reason = eelgrassbeam.ReasonNoCapacity
	case errors.Is(err, admitter.ErrClosed):
		reason = eelgrassbeam.ReasonNoDispatcher
	}
	d.recordDecision(request, "refuse", string(reason), 0)
	return eelgrassbeam.NotRun(request.ID, reason)
}

// exchange sends the admitted request to the slot's upstream.
func (d *Dispatcher) exchange(
	ctx context.Context, request eelgrassbeam.Request, s *site, slot *admitter.Slot, deadline time.Time,
) eelgrassbeam.Reply {
	defer d.countExchange(request.Site)()
	if reply, ok := d.start(request, deadline); !ok {
		slot.Release(admitter.Result{Outcome: admitter.OutcomeUnused})
		return reply
	}
	d.exchangesStarted.Add(1)
	begin := d.config.Clock.Now()
	waited := request.TimeLeft.Duration - deadline.Sub(begin)
	d.recordDecision(request, string(slot.Upstream.ID), "slot free", waited)
	request = request.WithTimeLeft(eelgrassbeam.Duration{Duration: deadline.Sub(begin)})
	// If a non-idempotent exchange were cancelled, its outcome would be unknown, so only the deadline ends it.
	if !request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, request.TimeLeft.Duration)
	defer cancel()
	reply, err := d.config.Upstreams.Exchange(ctx, slot.Upstream, request, d.limits(request.Service))
	elapsed := d.config.Clock.Now().Sub(begin)
	d.metrics.observe(request, reply, elapsed)
	if upstream.IsLeaving(reply) {
		d.markLeaving(slot.Upstream.ID)
	}
	result := d.result(slot.Upstream, reply, err, elapsed)
	if result.Outcome == admitter.OutcomeOK || result.Outcome == admitter.OutcomeFailed {
		s.ejector.Record(slot.Upstream.ID, result.Outcome == admitter.OutcomeFailed)
		d.probes.recordExchange(slot.Upstream.ID, reply.Outcome == eelgrassbeam.OutcomeAnswered, d.config.Clock.Now())
	}
	slot.Release(result)
	return reply
}

// countExchange counts an exchange as in progress until the returned function is called.
func (d *Dispatcher) countExchange(key eelgrassbeam.Site) func() {
	counter := d.exchangeCounter(key)
	counter.Add(1)
	d.inProgress.Add(1)
	return func() {
		counter.Add(-1)
		d.inProgress.Add(-1)
	}
}

// start marks the attempt as started; after that it can no longer be refused. MayDispatch is checked again, because
// the process may have been paused while the request waited.
func (d *Dispatcher) start(request eelgrassbeam.Request, deadline time.Time) (eelgrassbeam.Reply, bool) {
	now := d.config.Clock.Now()
	if !now.Before(deadline) {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline), false
	}
	if _, ok := d.config.Assigner.MayDispatch(d.config.Fleet.Fleet(), request.Site, now); !ok {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher), false
	}
	if err := d.config.Recorder.Start(request.AttemptID); err != nil {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonCancelled), false
	}
	return eelgrassbeam.Reply{}, true
}

// Incarnation returns the number that distinguishes this process from others that had the same address.
func (d *Dispatcher) Incarnation() uint64 { return d.config.Incarnation }
