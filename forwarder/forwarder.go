// Package forwarder is the reverse proxy of an entry: it matches callers' requests to routes and forwards each
// directly to an upstream.
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
	"github.com/eelgrassbeam/eelgrassbeam/authenticator"
	"github.com/eelgrassbeam/eelgrassbeam/bufferlimiter"
	"github.com/eelgrassbeam/eelgrassbeam/matcher"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// maxTries bounds the upstreams tried per request, including those to which no connection can be opened,
	// which do not count towards the route's MaxAttempts.
	maxTries = 4
	// minTimeLeft is the minimum time to the deadline that must remain for a request to be sent to an upstream.
	minTimeLeft = 50 * time.Millisecond
	// notReadyRetryAfter is the Retry-After of an entry that has not loaded the routes yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// noBufferRetryAfter is the Retry-After of an entry whose buffers are full. Those are free after the longest usual
	// timeout of a route at the latest.
	noBufferRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After of an entry that stops. Other entries accept the request immediately.
	stoppingRetryAfter = 50 * time.Millisecond
	// retryShare is the share of first attempts that may be retried. It is half of the retry ratio
	// (budget_ratio in the terms of the settings) that applies to all entries together, because each entry and each
	// time window rounds up.
	retryShare = 0.1
	// progressTimeout bounds the time without a byte from an upstream; the route's timeout is usually shorter.
	progressTimeout = 30 * time.Second
	// minConnections is the minimum of this entry's limit of connections to one upstream, even if its share of the
	// service's limit is smaller.
	minConnections = 4
)

// Exchanger sends one request to one upstream and returns its reply.
type Exchanger interface {
	Exchange(ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, limits upstream.Limits) (eelgrassbeam.Reply, error)
}

// Budget limits retries.
type Budget interface {
	RecordFirstAttempt(service eelgrassbeam.ServiceName, share float64)
	AllowRetry(service eelgrassbeam.ServiceName, share float64) bool
}

// Buffers limits the bytes of buffered bodies.
type Buffers interface {
	ReserveRequest(bytes int64, isUrgent bool) (release func(), err error)
	ReserveResponse(ctx context.Context, service eelgrassbeam.ServiceName, bytes int64) (release func(), err error)
	MaxResponseBytes() int64
}

// QuotaLimiter decides whether a team's request is within its quota, and if not, when the next one may be.
type QuotaLimiter interface {
	Admit(team *eelgrassbeam.Team) (isAdmitted bool, retryAfter time.Duration)
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
	Buffers   Buffers
	Metrics   *Metrics
	// Entries returns the number of live entries.
	Entries func() int
	// ResponseGrace is how long after a request's deadline the entry waits for a response that the upstream may be
	// sending.
	ResponseGrace time.Duration
	// AffinityHeader is the name of the request header that holds the affinity key.
	AffinityHeader string
	// Authenticator finds the team of a credential. CredentialHeader is the name of the request header that holds it, and
	// TeamHeader that of the header with the team's ID, which only this entry sets while there are teams.
	Authenticator *authenticator.Authenticator
	// AreTeamsCurrent reports whether the teams are known to be those of the latest configuration, as far as that matters.
	AreTeamsCurrent func() bool
	// Quotas decides on the requests of teams with a quota.
	Quotas                       QuotaLimiter
	CredentialHeader, TeamHeader string
}

// Forwarder is an http.Handler that forwards callers' requests to upstreams.
type Forwarder struct {
	config Config
	// retriesNonIdempotent retries requests whatever their route; for tests only.
	retriesNonIdempotent bool

	mu      sync.Mutex
	routing *eelgrassbeam.Routing
	matcher *matcher.Matcher
}

// New returns a Forwarder with the given configuration.
func New(config Config) *Forwarder { return &Forwarder{config: config} }

// IsSafeToRetry reports whether the caller may retry the request whatever its outcome: its route is idempotent, or it
// has none and is rejected without running.
func (f *Forwarder) IsSafeToRetry(r *http.Request) bool {
	route, _, _ := f.route(r)
	return route == nil || route.Idempotent
}

// call is a request in progress with its route and attempts.
type call struct {
	request eelgrassbeam.Request
	route   *eelgrassbeam.PathRoute
	// team is the team that has sent the request, nil for none.
	team *eelgrassbeam.Team
	// callerHeader is the header as the caller sent it, with the credential.
	callerHeader http.Header
	key          string
	startedAt    time.Time
	deadline     time.Time
	routing      *eelgrassbeam.Routing
	tried        []eelgrassbeam.UpstreamID
	// sent counts the upstreams that received the request.
	sent     int
	waited   time.Duration
	lastSlot *picker.Slot
	// buffers is the buffer space of the request and its response.
	buffers reservations
}

// priority returns the priority of the call, which has a route.
func (c *call) priority() int { return c.team.PriorityOn(c.route) }

// ServeHTTP forwards the request and answers the caller. It implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, rejection := f.read(w, r)
	if notifier, ok := w.(writeNotifier); ok {
		notifier.AfterWrite(c.buffers.release)
	} else {
		defer c.buffers.release()
	}
	if rejection == nil {
		rejection = f.reserveResponse(c)
	}
	if rejection != nil {
		f.complete(w, r, c, *rejection)
		return
	}
	f.complete(w, r, c, f.forward(r.Context(), c))
}

// writeNotifier is an http.ResponseWriter that buffers the response and reports when it has been written.
type writeNotifier interface{ AfterWrite(do func()) }

// ReserveBody reserves buffer space for a part of the request's body, in bytes.
func (f *Forwarder) ReserveBody(r *http.Request, bytes int64) (release func(), err error) {
	route, _, _ := f.route(r)
	if route == nil {
		return f.config.Buffers.ReserveRequest(bytes, false)
	}
	team, _ := f.authenticate(r.Header, route) // a request without a team is rejected once it is read
	return f.config.Buffers.ReserveRequest(bytes, team.PriorityOn(route) == 0)
}

// reserveResponse reserves buffer space for the first part of the response. A request without space is rejected before
// it is sent to an upstream.
func (f *Forwarder) reserveResponse(c *call) *outcome {
	release, err := f.config.Buffers.ReserveRequest(bufferlimiter.ResponseReserve, c.priority() == 0)
	if err != nil {
		rejection := f.reject(c, eelgrassbeam.ReasonNoBuffer, http.StatusServiceUnavailable)
		rejection.retryAfter = noBufferRetryAfter
		return rejection
	}
	c.buffers.add(release)
	return nil
}

// forward sends the request to one upstream after another until one has answered it or no further attempt is allowed.
func (f *Forwarder) forward(ctx context.Context, c *call) outcome {
	f.config.Budget.RecordFirstAttempt(c.request.Service, retryShare)
	var last outcome
	for attempt := 0; attempt < maxTries; attempt++ {
		if attempt > 0 && !f.mayRetry(c, last) {
			return last
		}
		if rejection := f.checkTeam(c); rejection != nil {
			if attempt > 0 && last.reply.Outcome != eelgrassbeam.OutcomeNotRun {
				return last
			}
			return *rejection
		}
		slot, err := f.config.Picker.Acquire(ctx, f.job(c))
		if err != nil {
			if attempt > 0 {
				return last
			}
			return f.acquireErrorOutcome(c, err)
		}
		c.lastSlot, c.waited = slot, c.waited+slot.Waited
		if slot.Waited > 0 {
			if rejection := f.checkTeam(c); rejection != nil {
				slot.Release(picker.ResultAbandoned, eelgrassbeam.SiteLoad{})
				return *rejection
			}
		}
		last = f.attempt(ctx, c, slot)
		if !last.isRetryable(c.request.Idempotent || f.retriesNonIdempotent) || ctx.Err() != nil {
			return last
		}
		f.logFailedAttempt(c, slot, last)
	}
	return last
}

func (f *Forwarder) job(c *call) picker.Job {
	return picker.Job{
		Request: c.request.ID, Route: c.route, Service: c.request.Service, Team: c.team, Key: c.key,
		StartBy: f.startBy(c), Deadline: c.deadline, Tried: c.tried,
	}
}

// startBy returns the latest time at which the request may be sent to an upstream: early enough for a response
// within the target latency, but at least a quarter of the target latency after the start of the request. In any case
// it is early enough for a response within the timeout.
func (f *Forwarder) startBy(c *call) time.Time {
	serviceTime := f.config.Picker.ServiceTime(c.route)
	slack := max(c.route.TargetLatency-serviceTime, c.route.TargetLatency/4)
	byTarget := c.startedAt.Add(slack)
	byTimeout := c.deadline.Add(-max(serviceTime, minTimeLeft))
	if byTimeout.Before(byTarget) {
		return byTimeout
	}
	return byTarget
}

// mayRetry reports whether another upstream may be tried after the last outcome. Attempts that reached no upstream
// need no retry budget.
func (f *Forwarder) mayRetry(c *call, last outcome) bool {
	if f.config.Clock.Now().Add(minTimeLeft).After(c.deadline) {
		return false
	}
	if !last.wasSent {
		return true
	}
	return c.sent < c.route.MaxAttempts && f.config.Budget.AllowRetry(c.request.Service, retryShare)
}

// attempt sends the request to the slot's upstream, releases the slot and returns the outcome.
func (f *Forwarder) attempt(ctx context.Context, c *call, slot *picker.Slot) outcome {
	if !c.request.Idempotent {
		// Do not cancel the attempt if the caller disconnects: the request may have started, and only the response
		// tells whether it was run.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(f.config.ResponseGrace))
	defer cancel()
	c.tried = append(c.tried, slot.Upstream.ID)
	settings := c.routing.Services[c.request.Service]
	limits := upstream.Limits{
		BodyBytes: min(maxResponseBytes, f.config.Buffers.MaxResponseBytes()), ProgressTimeout: progressTimeout,
		Connections: f.connectionLimit(settings), ReservedBytes: bufferlimiter.ResponseReserve,
		Reserve: func(ctx context.Context, bytes int64) error {
			release, err := f.config.Buffers.ReserveResponse(ctx, c.request.Service, bytes)
			if err == nil {
				c.buffers.add(release)
			}
			return err
		},
	}
	reply, err := f.config.Exchanger.Exchange(ctx, slot.Upstream, c.request, limits)
	last := classify(ctx, reply, err)
	if last.wasSent {
		c.sent++
	}
	slot.Observe(reply.Notice)
	slot.Release(last.result, reply.Load)
	return last
}

// connectionLimit returns this entry's share of the upstream's connection limit.
func (f *Forwarder) connectionLimit(settings eelgrassbeam.ServiceSettings) int {
	if settings.MaxConnections == 0 {
		return maxConnections
	}
	return max(settings.MaxConnections/max(f.config.Entries(), 1), minConnections)
}

// acquireErrorOutcome returns the outcome of a request for which Picker.Acquire failed.
func (f *Forwarder) acquireErrorOutcome(c *call, err error) outcome {
	reason := eelgrassbeam.ReasonCancelled
	switch {
	case errors.Is(err, picker.ErrNoUpstream):
		reason = eelgrassbeam.ReasonNoCapacity
	case errors.Is(err, picker.ErrOverloaded):
		reason = eelgrassbeam.ReasonQueueFull
	case errors.Is(err, picker.ErrStopping):
		return outcome{reply: eelgrassbeam.NotRun(c.request.ID, eelgrassbeam.ReasonStopping), retryAfter: stoppingRetryAfter}
	}
	return outcome{
		reply:      eelgrassbeam.NotRun(c.request.ID, reason),
		retryAfter: f.config.Picker.RetryAfter(f.job(c)),
	}
}

// logFailedAttempt logs a failed attempt of a request that may be retried.
func (f *Forwarder) logFailedAttempt(c *call, slot *picker.Slot, last outcome) {
	f.config.Log.WithFields(logrus.Fields{
		"event": "attempt_failed", "request": c.request.ID, "upstream": slot.Upstream.ID, "result": last.result,
		"outcome": last.reply.Outcome, "reason": last.reply.Reason, "status": last.reply.Status, "sent": last.wasSent,
		"after_ms": f.config.Clock.Now().Sub(c.startedAt).Milliseconds(),
	}).Info("")
}

// route returns the request's route, nil if none matches, and the matcher and routing of the current view, nil if
// that is not ready.
func (f *Forwarder) route(r *http.Request) (*eelgrassbeam.PathRoute, *matcher.Matcher, *eelgrassbeam.Routing) {
	routeMatcher, routing := f.current()
	if routing == nil {
		return nil, nil, nil
	}
	route, _ := routeMatcher.Route(hostWithoutPort(r), eelgrassbeam.TargetPath(eelgrassbeam.OriginTarget(r)))
	return route, routeMatcher, routing
}

// current returns the routing of the current view with its matcher, nil if the view is not ready. The teams of the routing
// are in force when it returns.
func (f *Forwarder) current() (*matcher.Matcher, *eelgrassbeam.Routing) {
	view := f.config.Views.View()
	if !view.IsReady() {
		return nil, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routing != view.Routing {
		f.routing, f.matcher = view.Routing, matcher.New(view.Routing)
		f.config.Authenticator.Update(view.Routing.Teams)
	}
	return f.matcher, f.routing
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }
