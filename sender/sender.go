// Package sender sends a caller's request from its entry to a site's dispatcher, and retries it if that is safe.
package sender

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/retrylimiter"
)

const (
	// maxAttempts limits the attempts per request that may reach an upstream.
	maxAttempts = 4
	// retryBackoff is the initial delay between attempts; it doubles on each retry up to maxRetryBackoff.
	retryBackoff    = 10 * time.Millisecond
	maxRetryBackoff = 250 * time.Millisecond
	// cancelTimeout limits the duration of the call that cancels an attempt or looks up its outcome.
	cancelTimeout = 500 * time.Millisecond
	// noCapacityRetryAfter is the Retry-After sent to callers when no site has capacity.
	noCapacityRetryAfter = time.Second
)

var (
	// ErrNoSite is returned when no site is eligible for the request.
	ErrNoSite = errors.New("no site")
	// ErrNoGrant is returned when only sites in other regions are eligible and none has issued a grant yet.
	ErrNoGrant = errors.New("no grant")
)

// Choice is the site chosen for a request.
type Choice struct {
	Site   eelgrassbeam.Site
	Region eelgrassbeam.RegionID
	// Grant is the ID of the shift grant that the choice uses; 0 means none.
	Grant  uint64
	Reason string
}

// Chooser chooses a site for a request and avoids the sites that were already tried.
type Chooser interface {
	// Choose returns ErrNoSite or ErrNoGrant if it finds no site.
	Choose(request eelgrassbeam.Request, tried []eelgrassbeam.Site, now time.Time) (Choice, error)
	// Observe records the site load reported in a reply.
	Observe(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time)
}

// Budget limits retries to a share of first attempts.
type Budget interface {
	// RecordFirstAttempt counts a first attempt.
	RecordFirstAttempt(service eelgrassbeam.ServiceName, share float64)
	// AllowRetry takes one retry from the budget and reports whether it is allowed.
	AllowRetry(service eelgrassbeam.ServiceName, share float64) bool
}

// Owners looks up the entry that dispatches for a site.
type Owners interface {
	Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool)
}

// Remote sends requests to other entries.
type Remote interface {
	// Incarnation returns the incarnation of the entry. It does not send the request, so after an error the request has
	// not run.
	Incarnation(ctx context.Context, to eelgrassbeam.Entry) (uint64, error)
	// Forward sends the request; an error means that the outcome is unknown.
	Forward(ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	// Cancel cancels the attempt at the entry if it has not started, and otherwise reports its state.
	Cancel(ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request, age time.Duration) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply, error)
}

// Config configures a Sender.
type Config struct {
	Self        eelgrassbeam.Entry
	Incarnation uint64
	Clock       eelgrassbeam.Clock
	Log         logrus.FieldLogger
	Decisions   *logger.Logger
	Fleet       eelgrassbeam.FleetSource
	// Configuration provides the retry share of each service.
	Configuration eelgrassbeam.ConfigurationSource
	Chooser       Chooser
	Budget        Budget
	Owners        Owners
	// Local forwards requests to the sites for which this entry dispatches.
	Local  eelgrassbeam.Forwarder
	Remote Remote
	// ResendUnknown also retries non-idempotent requests of unknown outcome; for tests only.
	ResendUnknown bool
}

// Sender sends requests on behalf of callers.
type Sender struct {
	config          Config
	attemptSequence atomic.Uint64
	// grantWaiters is the number of requests that wait for a grant.
	grantWaiters atomic.Int64
}

// New returns a Sender.
func New(config Config) *Sender { return &Sender{config: config} }

// Send sends the request and returns its reply. It retries while that is safe and within the deadline and the retry
// budget. If any attempt may have run, the request is never reported as not run.
func (s *Sender) Send(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	reply, mayHaveRun := s.send(ctx, request)
	if mayHaveRun && reply.Outcome == eelgrassbeam.OutcomeNotRun {
		return eelgrassbeam.Unknown(request.ID, reply.Reason).WithRetryAfter(reply.RetryAfter)
	}
	return reply
}

// send returns the reply of the last attempt and reports whether an earlier attempt may have run. Attempts that did not
// reach an upstream do not use the retry budget.
func (s *Sender) send(ctx context.Context, request eelgrassbeam.Request) (reply eelgrassbeam.Reply, mayHaveRun bool) {
	deadline := s.config.Clock.Now().Add(request.TimeLeft.Duration)
	share := s.retryShare(request.Service)
	s.config.Budget.RecordFirstAttempt(request.Service, share)
	var tried []eelgrassbeam.Site
	backoff, reachedCount := retryBackoff, 0
	for attempt := 1; ; attempt++ {
		request = request.WithAttempt(attempt, s.nextAttemptID())
		reply, site, err := s.attempt(ctx, request, tried, deadline)
		if errors.Is(err, ErrNoGrant) || !s.isRetryable(request, reply) {
			return reply, mayHaveRun
		}
		mayHaveRun = mayHaveRun || reply.Outcome == eelgrassbeam.OutcomeUnknown
		if mayHaveReachedUpstream(reply) {
			reachedCount++
			if reachedCount == maxAttempts || !s.config.Budget.AllowRetry(request.Service, share) {
				return reply, mayHaveRun
			}
		}
		if !s.wait(ctx, backoff, deadline) {
			return reply, mayHaveRun
		}
		s.logRetry(request, reply)
		tried = appendSite(tried, site)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// mayHaveReachedUpstream reports whether an upstream may have received the attempt.
func mayHaveReachedUpstream(reply eelgrassbeam.Reply) bool {
	return reply.Outcome == eelgrassbeam.OutcomeUnknown || reply.Reason == eelgrassbeam.ReasonUpstreamRefused
}

func (s *Sender) retryShare(name eelgrassbeam.ServiceName) float64 {
	configuration, ok := s.config.Configuration.Configuration()
	if !ok {
		return 0
	}
	return retrylimiter.Share(configuration, name, s.config.Clock.Now())
}

// attempt makes one attempt and returns the chosen site; it returns an error if no site could be chosen.
func (s *Sender) attempt(
	ctx context.Context, request eelgrassbeam.Request, tried []eelgrassbeam.Site, deadline time.Time,
) (eelgrassbeam.Reply, eelgrassbeam.Site, error) {
	choice, err := s.choose(ctx, request, tried, deadline)
	if err != nil {
		s.logRefusal(request, err)
		return noCapacity(request.ID), eelgrassbeam.Site{}, err
	}
	left := deadline.Sub(s.config.Clock.Now())
	if left <= 0 {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline), eelgrassbeam.Site{}, nil
	}
	request = request.WithSite(choice.Site, choice.Grant).WithTimeLeft(eelgrassbeam.Duration{Duration: left})
	fleet := s.config.Fleet.Fleet()
	dispatcher, ok := s.config.Owners.Owner(fleet, choice.Site)
	if !ok {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher), choice.Site, nil
	}
	s.logDecision(request, fleet, choice, dispatcher)
	reply := s.sendTo(ctx, dispatcher, request)
	if reply.Load != (eelgrassbeam.SiteLoad{}) {
		s.config.Chooser.Observe(choice.Site, reply.Load, s.config.Clock.Now())
	}
	return reply, choice.Site, nil
}

func (s *Sender) sendTo(ctx context.Context, dispatcher eelgrassbeam.Entry, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if dispatcher.ID == s.config.Self.ID {
		reply, err := s.config.Local.Forward(ctx, request)
		return validateReply(reply, err, request)
	}
	sent := s.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, request.TimeLeft.Duration)
	defer cancel()
	incarnation, err := s.config.Remote.Incarnation(ctx, dispatcher)
	if err != nil {
		s.logUnreachable(request, dispatcher, err)
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed)
	}
	request = request.WithIncarnation(incarnation)
	reply, err := s.config.Remote.Forward(ctx, dispatcher, request)
	if err == nil {
		return validateReply(reply, nil, request)
	}
	return s.resolve(ctx, dispatcher, request, sent, err)
}

// resolve looks up the outcome of an attempt whose reply was lost, and cancels the attempt if it has not started.
func (s *Sender) resolve(
	ctx context.Context, dispatcher eelgrassbeam.Entry, request eelgrassbeam.Request, sent time.Time, cause error,
) eelgrassbeam.Reply {
	cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	cancellation, reply, err := s.config.Remote.Cancel(cancelCtx, dispatcher, request, s.config.Clock.Now().Sub(sent))
	s.config.Log.WithFields(logrus.Fields{
		"event": "reply_lost", "request": request.ID, "attempt": request.AttemptID, "peer": dispatcher.ID,
		"state": cancellation, "cause": cause, "error": err,
	}).Warn("")
	switch {
	case err != nil:
		return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
	case cancellation == eelgrassbeam.CancelNotStarted && ctx.Err() != nil:
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline)
	case cancellation == eelgrassbeam.CancelNotStarted:
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed)
	case cancellation == eelgrassbeam.CancelDone && reply != nil:
		return validateReply(*reply, nil, request)
	default:
		return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
	}
}

// validateReply replaces an error, or a reply that does not match the request, by an unknown outcome.
func validateReply(reply eelgrassbeam.Reply, err error, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if err == nil {
		err = reply.Validate(request.ID)
	}
	if err != nil {
		return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
	}
	return reply
}

func (s *Sender) isRetryable(request eelgrassbeam.Request, reply eelgrassbeam.Reply) bool {
	switch reply.Outcome {
	case eelgrassbeam.OutcomeNotRun:
		return isTransient(reply.Reason)
	case eelgrassbeam.OutcomeUnknown:
		return request.Idempotent || s.config.ResendUnknown
	default:
		return false
	}
}

// isTransient reports whether another attempt may succeed.
func isTransient(reason eelgrassbeam.Reason) bool {
	switch reason {
	case eelgrassbeam.ReasonNoDispatcher, eelgrassbeam.ReasonPeerFailed, eelgrassbeam.ReasonUpstreamFailed,
		eelgrassbeam.ReasonUpstreamRefused, eelgrassbeam.ReasonStopping, eelgrassbeam.ReasonNoCapacity:
		return true
	default:
		return false
	}
}

func (s *Sender) wait(ctx context.Context, delay time.Duration, deadline time.Time) bool {
	if s.config.Clock.Now().Add(delay).After(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.config.Clock.After(delay):
		return true
	}
}

func (s *Sender) nextAttemptID() eelgrassbeam.RequestID {
	return eelgrassbeam.RequestID(fmt.Sprintf("%s.%x.%x", s.config.Self.ID, s.config.Incarnation, s.attemptSequence.Add(1)))
}

func noCapacity(id eelgrassbeam.RequestID) eelgrassbeam.Reply {
	return eelgrassbeam.NotRun(id, eelgrassbeam.ReasonNoCapacity).
		WithRetryAfter(eelgrassbeam.Duration{Duration: noCapacityRetryAfter})
}

func appendSite(tried []eelgrassbeam.Site, site eelgrassbeam.Site) []eelgrassbeam.Site {
	if site == (eelgrassbeam.Site{}) {
		return tried
	}
	return append(tried, site)
}
