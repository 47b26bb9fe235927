package deduplicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// retryBackoff is the initial delay before a request is sent again after its reply was lost; it doubles on each
	// retry up to maxRetryBackoff.
	retryBackoff    = 20 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
)

// Remote sends a request with an idempotency key to its home. An error means that the outcome is unknown.
type Remote interface {
	Do(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	// Recall asks a previous home for its reply to the request's key.
	Recall(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (RecallResponse, error)
}

// RouterConfig configures a Router.
type RouterConfig struct {
	Self         eelgrassbeam.Entry
	Fleet        eelgrassbeam.FleetSource
	Deduplicator *Deduplicator
	Remote       Remote
	// Run forwards a request once.
	Run   func(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}

// Router routes requests with an idempotency key to the home of the key.
type Router struct {
	config     RouterConfig
	inProgress atomic.Int64
}

// NewRouter returns a router.
func NewRouter(config RouterConfig) *Router { return &Router{config: config} }

// Route runs the request at the home of its key. If the reply is lost, the request is sent again with the same key,
// which never runs it twice.
func (r *Router) Route(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	deadline := r.config.Clock.Now().Add(request.TimeLeft.Duration)
	lost := false
	for backoff := retryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		reply, err := r.attempt(ctx, request)
		if err == nil && (!lost || reply.Reason != eelgrassbeam.ReasonInProgress) {
			return resolveAfterLoss(reply, lost)
		}
		lost = true
		now := r.config.Clock.Now()
		if !now.Add(backoff).Before(deadline) {
			return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
		}
		select {
		case <-ctx.Done():
			return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
		case <-r.config.Clock.After(backoff):
		}
		request = request.WithTimeLeft(eelgrassbeam.Duration{Duration: deadline.Sub(r.config.Clock.Now())})
	}
}

// attempt sends the request to the home of its key in the current fleet view.
func (r *Router) attempt(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	home, ok := Home(r.config.Fleet.Fleet(), r.config.Self.Region, request.IdempotencyKey)
	if !ok || home.ID == r.config.Self.ID {
		return r.Do(ctx, request)
	}
	reply, err := r.config.Remote.Do(ctx, home, request)
	if err == nil {
		err = reply.Validate(request.ID)
	}
	if err != nil {
		r.config.Log.WithFields(logrus.Fields{
			"event": "key_reply_lost", "request": request.ID, "home": home.ID, "error": err.Error(),
		}).Warn("")
		return eelgrassbeam.Reply{}, err
	}
	return reply, nil
}

// Do runs the request at this entry as the home of its key. The request continues after the caller disconnects, so that
// a repeat gets the reply.
func (r *Router) Do(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	deadline := r.config.Clock.Now().Add(request.TimeLeft.Duration)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.TimeLeft.Duration)
	defer cancel()
	reply, err := r.config.Deduplicator.Do(ctx, request, func(ctx context.Context) (eelgrassbeam.Reply, error) {
		left := deadline.Sub(r.config.Clock.Now())
		return r.config.Run(ctx, request.WithTimeLeft(eelgrassbeam.Duration{Duration: left}))
	})
	if err != nil || reply.Reason != eelgrassbeam.ReasonKeyUnknown {
		return reply, err
	}
	if recalled, ok := r.recall(ctx, request); ok {
		return recalled, nil
	}
	return reply, nil
}

// Recall implements Receiver.
func (r *Router) Recall(request eelgrassbeam.Request) RecallResponse {
	return r.config.Deduplicator.Recall(request)
}

// InProgress returns the number of requests that this entry is serving as a home; a graceful shutdown waits for them.
func (r *Router) InProgress() int { return int(r.inProgress.Load()) }

// resolveAfterLoss turns a not-run outcome into an unknown one if an earlier attempt may still be running.
func resolveAfterLoss(reply eelgrassbeam.Reply, lost bool) eelgrassbeam.Reply {
	if !lost || reply.Outcome != eelgrassbeam.OutcomeNotRun {
		return reply
	}
	unknown := eelgrassbeam.Unknown(reply.RequestID, reply.Reason)
	return unknown.WithRetryAfter(reply.RetryAfter)
}
