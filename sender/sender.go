// Package sender brings a caller's request from its entry to a site's dispatcher, once or again where that is safe.
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
	"github.com/eelgrassbeam/eelgrassbeam/retrier"
)

const (
	// maxAttempts bounds the attempts of one request that may reach an upstream.
	maxAttempts = 4
	// retryPause is the time between attempts, doubled after each up to maxRetryPause.
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
	// cancelTimeout bounds the question what became of an attempt.
	cancelTimeout = 500 * time.Millisecond
	// noCapacityRetryAfter is told to callers that found no capacity.
	noCapacityRetryAfter = time.Second
)

var (
	// ErrNoSite reports that no site may take the request.
	ErrNoSite = errors.New("no site")
	// ErrNoGrant reports that only other regions may take the request and that none has given a grant yet.
	ErrNoGrant = errors.New("no grant")
)

// Choice is a site with the reason for it.
type Choice struct {
	Site   eelgrassbeam.Site
	Region eelgrassbeam.RegionID
	// Grant is the shift grant that the choice uses, 0 for none.
	Grant  uint64
	Reason string
}

// Chooser chooses a site for a request, passing over the sites that were tried.
type Chooser interface {
	Choose(request eelgrassbeam.Request, tried []eelgrassbeam.Site, now time.Time) (Choice, error)
	// Observe takes the load that a reply tells.
	Observe(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time)
}

// Budget bounds retries as a share of first attempts.
type Budget interface {
	// RecordFirst counts a first attempt.
	RecordFirst(service eelgrassbeam.ServiceName, share float64)
	// AllowRetry takes a retry from the budget; false refuses it.
	AllowRetry(service eelgrassbeam.ServiceName, share float64) bool
}

// Owners tells which entry dispatches for a site.
type Owners interface {
	Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool)
}

// Remote brings requests to other entries.
type Remote interface {
	// Greet returns the incarnation of the entry; an error means that nothing was sent.
	Greet(ctx context.Context, to eelgrassbeam.Entry) (uint64, error)
	// Forward returns an error when nothing is known about the outcome.
	Forward(ctx context.Context, to eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	// Cancel bars the attempt at the entry or tells what became of it.
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
	// Configuration tells each service's retry share.
	Configuration eelgrassbeam.ConfigurationSource
	Chooser       Chooser
	Budget        Budget
	Owners        Owners
	// Local serves the sites that this entry dispatches for itself.
	Local  eelgrassbeam.Forwarder
	Remote Remote
	// ResendUnknown turns off the guard that a non-idempotent request of unknown outcome is never sent again. For tests only.
	ResendUnknown bool
}

// Sender sends requests on behalf of callers.
type Sender struct {
	config  Config
	attempt atomic.Uint64
	// awaiting counts the requests that wait for a grant.
	awaiting atomic.Int64
}

// New returns a Sender.
func New(config Config) *Sender { return &Sender{config: config} }

// Send returns what became of the request; it attempts again while that is safe, in time and in budget. A request of
// which one attempt may have run is never reported as not run.
func (s *Sender) Send(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	reply, mayHaveRun := s.send(ctx, request)
	if mayHaveRun && reply.Outcome == eelgrassbeam.OutcomeNotRun {
		return eelgrassbeam.Unknown(request.ID, reply.Reason).WithRetryAfter(reply.RetryAfter)
	}
	return reply
}

// send returns the last attempt's reply and whether an attempt before it may have run. Attempts that reached no upstream
// cost no budget.
func (s *Sender) send(ctx context.Context, request eelgrassbeam.Request) (reply eelgrassbeam.Reply, mayHaveRun bool) {
	deadline := s.config.Clock.Now().Add(request.TimeLeft.Duration)
	share := s.retryShare(request.Service)
	s.config.Budget.RecordFirst(request.Service, share)
	var tried []eelgrassbeam.Site
	pause, reached := retryPause, 0
	for attempt := 1; ; attempt++ {
		request = request.WithAttempt(attempt, s.nextAttemptID())
		reply, site, err := s.try(ctx, request, tried, deadline)
		if errors.Is(err, ErrNoGrant) || !s.isRetryable(request, reply) {
			return reply, mayHaveRun
		}
		mayHaveRun = mayHaveRun || reply.Outcome == eelgrassbeam.OutcomeUnknown
		if mayHaveReached(reply) {
			reached++
			if reached == maxAttempts || !s.config.Budget.AllowRetry(request.Service, share) {
				return reply, mayHaveRun
			}
		}
		if !s.wait(ctx, pause, deadline) {
			return reply, mayHaveRun
		}
		s.logRetry(request, reply)
		tried = appendSite(tried, site)
		pause = min(2*pause, maxRetryPause)
	}
}

// mayHaveReached tells whether an upstream may have seen the attempt.
func mayHaveReached(reply eelgrassbeam.Reply) bool {
	return reply.Outcome == eelgrassbeam.OutcomeUnknown || reply.Reason == eelgrassbeam.ReasonUpstreamRefused
}

func (s *Sender) retryShare(name eelgrassbeam.ServiceName) float64 {
	configuration, ok := s.config.Configuration.Configuration()
	if !ok {
		return 0
	}
	return retrier.Share(configuration, name, s.config.Clock.Now())
}

// try makes one attempt and returns the site that it chose; an error tells why none was chosen.
func (s *Sender) try(
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
	owner, ok := s.config.Owners.Owner(fleet, choice.Site)
	if !ok {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonNoDispatcher), choice.Site, nil
	}
	s.decide(request, fleet, choice, owner)
	reply := s.sendTo(ctx, owner, request)
	if reply.Load != (eelgrassbeam.SiteLoad{}) {
		s.config.Chooser.Observe(choice.Site, reply.Load, s.config.Clock.Now())
	}
	return reply, choice.Site, nil
}

func (s *Sender) sendTo(ctx context.Context, owner eelgrassbeam.Entry, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if owner.ID == s.config.Self.ID {
		reply, err := s.config.Local.Forward(ctx, request)
		return checked(reply, err, request)
	}
	sent := s.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, request.TimeLeft.Duration)
	defer cancel()
	incarnation, err := s.config.Remote.Greet(ctx, owner)
	if err != nil {
		s.logUnreached(request, owner, err)
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed)
	}
	request = request.WithIncarnation(incarnation)
	reply, err := s.config.Remote.Forward(ctx, owner, request)
	if err == nil {
		return checked(reply, nil, request)
	}
	return s.resolve(ctx, owner, request, sent, err)
}

// resolve asks the receiver what became of an attempt whose reply was lost, and bars it if it has not started.
func (s *Sender) resolve(
	ctx context.Context, owner eelgrassbeam.Entry, request eelgrassbeam.Request, sent time.Time, cause error,
) eelgrassbeam.Reply {
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	state, reply, err := s.config.Remote.Cancel(ask, owner, request, s.config.Clock.Now().Sub(sent))
	s.config.Log.WithFields(logrus.Fields{
		"event": "reply_lost", "request": request.ID, "attempt": request.AttemptID, "peer": owner.ID,
		"state": state, "cause": cause, "error": err,
	}).Warn("")
	switch {
	case err != nil:
		return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
	case state == eelgrassbeam.CancelNotStarted && ctx.Err() != nil:
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonDeadline)
	case state == eelgrassbeam.CancelNotStarted:
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonPeerFailed)
	case state == eelgrassbeam.CancelDone && reply != nil:
		return checked(*reply, nil, request)
	default:
		return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
	}
}

// checked discards a reply that is not for the request.
func checked(reply eelgrassbeam.Reply, err error, request eelgrassbeam.Request) eelgrassbeam.Reply {
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
		return isPassing(reply.Reason)
	case eelgrassbeam.OutcomeUnknown:
		return request.Idempotent || s.config.ResendUnknown
	default:
		return false
	}
}

// isPassing tells whether another attempt may fare better.
func isPassing(reason eelgrassbeam.Reason) bool {
	switch reason {
	case eelgrassbeam.ReasonNoDispatcher, eelgrassbeam.ReasonPeerFailed, eelgrassbeam.ReasonUpstreamFailed,
		eelgrassbeam.ReasonUpstreamRefused, eelgrassbeam.ReasonStopping, eelgrassbeam.ReasonNoCapacity:
		return true
	default:
		return false
	}
}

func (s *Sender) wait(ctx context.Context, pause time.Duration, deadline time.Time) bool {
	if s.config.Clock.Now().Add(pause).After(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.config.Clock.After(pause):
		return true
	}
}

func (s *Sender) nextAttemptID() eelgrassbeam.RequestID {
	return eelgrassbeam.RequestID(fmt.Sprintf("%s.%x.%x", s.config.Self.ID, s.config.Incarnation, s.attempt.Add(1)))
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
