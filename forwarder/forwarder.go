// Package forwarder takes callers' requests by path routes and sends each straight to an upstream.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/matcher"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// maxOffers bounds the upstreams that are tried in vain, where connections can't even be opened.
	maxOffers = 4
	// startReserve is the least time that an upstream must have left to be worth a request.
	startReserve = 50 * time.Millisecond
	// notReadyRetryAfter is when a caller should come back to an entry that doesn't know the routes yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// retryShare is the share of first attempts that may be repeated, half of what is agreed, so that what entries and windows
	// round up stays below it.
	retryShare = 0.1
	// progressLimit bounds the time without a byte from an upstream; the route's timeout is the usual bound.
	progressLimit = 30 * time.Second
	// minConnections is the least number of connections to one upstream.
	minConnections = 4
)

// Exchanger exchanges one request with one upstream.
type Exchanger interface {
	Exchange(ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, limits upstream.Limits) (eelgrassbeam.Reply, error)
}

// Budget bounds repeats.
type Budget interface {
	RecordFirst(service eelgrassbeam.ServiceName, share float64)
	AllowRetry(service eelgrassbeam.ServiceName, share float64) bool
}

// Config configures a Forwarder.
type Config struct {
	Self      eelgrassbeam.Entry
	Clock     eelgrassbeam.Clock
	Log       logrus.FieldLogger
	Views     eelgrassbeam.ViewSource
	Picker    *picker.Picker
	Exchanger Exchanger
	Budget    Budget
	Metrics   *Metrics
	// Entries returns the number of live entries.
	Entries func() int
	// AnswerGrace is how long after a request's deadline an answer on its way from the upstream is awaited.
	AnswerGrace time.Duration
	// AffinityHeader names the object that a request concerns.
	AffinityHeader string
}

// Forwarder is the http.Handler of callers' requests.
type Forwarder struct {
	config Config
	// resendsUnknown takes every request for idempotent; tests only.
	resendsUnknown bool

	mu      sync.Mutex
	routing *eelgrassbeam.Routing
	matcher *matcher.Matcher
}

// New returns a Forwarder.
func New(config Config) *Forwarder { return &Forwarder{config: config} }

// MayRepeat tells whether the caller may repeat the request, whatever became of it.
func (f *Forwarder) MayRepeat(r *http.Request) bool {
	route, _, _ := f.route(hostOf(r), r.URL.Path)
	return route == nil || route.Idempotent
}

// flight is a request under way.
type flight struct {
	request  eelgrassbeam.Request
	route    *eelgrassbeam.PathRoute
	key      string
	began    time.Time
	deadline time.Time
	routing  *eelgrassbeam.Routing
	tried    []eelgrassbeam.UpstreamID
	// sent counts the upstreams that the request was handed to.
	sent   int
	waited time.Duration
	last   *picker.Slot
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fl, refusal := f.read(w, r)
	if refusal != nil {
		f.finish(w, r, fl, *refusal)
		return
	}
	f.finish(w, r, fl, f.forward(r.Context(), fl))
}

// forward offers the request to upstreams until one has answered it or no further one may be tried.
func (f *Forwarder) forward(ctx context.Context, fl *flight) outcome {
	f.config.Budget.RecordFirst(fl.request.Service, retryShare)
	var last outcome
	for offer := 0; offer < maxOffers; offer++ {
		if offer > 0 && !f.mayRepeat(fl, last) {
			return last
		}
		slot, err := f.config.Picker.Acquire(ctx, f.job(fl))
		if err != nil {
			if offer > 0 {
				return last
			}
			return f.refused(fl, err)
		}
		fl.last, fl.waited = slot, fl.waited+slot.Waited
		last = f.offer(ctx, fl, slot)
		if !last.isRepeatable(fl.request.Idempotent || f.resendsUnknown) || ctx.Err() != nil {
			return last
		}
		f.logRepeat(fl, slot, last)
	}
	return last
}

func (f *Forwarder) job(fl *flight) picker.Job {
	return picker.Job{
		Request: fl.request.ID, Route: fl.route, Service: fl.request.Service, Key: fl.key,
		StartBy: f.startBy(fl), Tried: fl.tried,
	}
}

// startBy returns the latest time at which the request may begin at an upstream: so that its answer comes within the target
// latency where that can be, and always within the timeout.
func (f *Forwarder) startBy(fl *flight) time.Time {
	work := f.config.Picker.Duration(fl.route)
	slack := max(fl.route.TargetLatency-work, fl.route.TargetLatency/4)
	byTarget := fl.began.Add(slack)
	byTimeout := fl.deadline.Add(-max(work, startReserve))
	if byTimeout.Before(byTarget) {
		return byTimeout
	}
	return byTarget
}

// mayRepeat tells whether another upstream may be tried after the last outcome.
func (f *Forwarder) mayRepeat(fl *flight, last outcome) bool {
	if f.config.Clock.Now().Add(startReserve).After(fl.deadline) {
		return false
	}
	if !last.wasSent {
		return true
	}
	return fl.sent < fl.route.MaxAttempts && f.config.Budget.AllowRetry(fl.request.Service, retryShare)
}

// offer sends the request to one upstream.
func (f *Forwarder) offer(ctx context.Context, fl *flight, slot *picker.Slot) outcome {
	if !fl.request.Idempotent {
		// The work goes on when the caller leaves: it may have begun, and its answer tells whether it was done.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, fl.deadline.Add(f.config.AnswerGrace))
	defer cancel()
	fl.tried = append(fl.tried, slot.Upstream.ID)
	terms := fl.routing.Services[fl.request.Service]
	limits := upstream.Limits{BodyBytes: maxAnswerBytes, Progress: progressLimit, Connections: f.connections(terms)}
	reply, err := f.config.Exchanger.Exchange(ctx, slot.Upstream, fl.request, limits)
	last := judge(ctx, reply, err)
	if last.wasSent {
		fl.sent++
	}
	slot.Release(last.result, reply.Load)
	return last
}

// connections returns this entry's part of the connections to one upstream.
func (f *Forwarder) connections(terms eelgrassbeam.ServiceTerms) int {
	if terms.MaxConnections == 0 {
		return maxConnections
	}
	return max(terms.MaxConnections/max(f.config.Entries(), 1), minConnections)
}

func (f *Forwarder) refused(fl *flight, err error) outcome {
	reason := eelgrassbeam.ReasonCancelled
	switch {
	case errors.Is(err, picker.ErrNoUpstream):
		reason = eelgrassbeam.ReasonNoCapacity
	case errors.Is(err, picker.ErrOverloaded):
		reason = eelgrassbeam.ReasonQueueFull
	}
	return outcome{
		reply:      eelgrassbeam.NotRun(fl.request.ID, reason),
		retryAfter: f.config.Picker.RetryAfter(f.job(fl)),
	}
}

// logRepeat records why a request goes to another upstream.
func (f *Forwarder) logRepeat(fl *flight, slot *picker.Slot, last outcome) {
	f.config.Log.WithFields(logrus.Fields{
		"event": "attempt_failed", "request": fl.request.ID, "upstream": slot.Upstream.ID, "result": last.result,
		"outcome": last.reply.Outcome, "reason": last.reply.Reason, "status": last.reply.Status, "sent": last.wasSent,
		"after_ms": f.config.Clock.Now().Sub(fl.began).Milliseconds(),
	}).Info("")
}

// route finds the route by the view in force.
func (f *Forwarder) route(host, path string) (*eelgrassbeam.PathRoute, *matcher.Matcher, *eelgrassbeam.Routing) {
	view := f.config.Views.View()
	if !view.IsReady() {
		return nil, nil, nil
	}
	f.mu.Lock()
	if f.routing != view.Routing {
		f.routing, f.matcher = view.Routing, matcher.New(view.Routing)
	}
	found, routing := f.matcher, f.routing
	f.mu.Unlock()
	route, _ := found.Route(host, path)
	return route, found, routing
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }
