package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// repeatPause is the time between repeats of a request whose reply from the home was lost, doubled after each.
	repeatPause    = 20 * time.Millisecond
	maxRepeatPause = 500 * time.Millisecond
)

// Remote brings a request with a key to its home. An error means that nothing is known about the outcome.
type Remote interface {
	Do(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	// Recall asks an earlier home what it knows about the request's key.
	Recall(ctx context.Context, home eelgrassbeam.Entry, request eelgrassbeam.Request) (Recalled, error)
}

// RouterConfig configures a Router.
type RouterConfig struct {
	Self   eelgrassbeam.Entry
	Fleet  eelgrassbeam.FleetSource
	Keeper *Keeper
	Remote Remote
	// Run sends a request on, once.
	Run   func(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error)
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}

// Router brings requests with an idempotency key to their homes.
type Router struct {
	config     RouterConfig
	inProgress atomic.Int64
}

// NewRouter returns a router.
func NewRouter(config RouterConfig) *Router { return &Router{config: config} }

// Route runs the request at its key's home. A reply that is lost on the way is
// asked for again under the same key, which never runs the request twice.
func (r *Router) Route(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	deadline := r.config.Clock.Now().Add(request.TimeLeft.Duration)
	lost := false
	for pause := repeatPause; ; pause = min(2*pause, maxRepeatPause) {
		reply, err := r.try(ctx, request)
		if err == nil && (!lost || reply.Reason != eelgrassbeam.ReasonInProgress) {
			return afterLoss(reply, lost)
		}
		lost = true
		now := r.config.Clock.Now()
		if !now.Add(pause).Before(deadline) {
			return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
		}
		select {
		case <-ctx.Done():
			return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonPeerFailed)
		case <-r.config.Clock.After(pause):
		}
		request = request.WithTimeLeft(eelgrassbeam.Duration{Duration: deadline.Sub(r.config.Clock.Now())})
	}
}

// try asks the home in the current view of the fleet.
func (r *Router) try(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
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

// Do runs the request at this entry as its key's home. It goes on when the
// caller goes away, so that a repeat gets the answer.
func (r *Router) Do(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	deadline := r.config.Clock.Now().Add(request.TimeLeft.Duration)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.TimeLeft.Duration)
	defer cancel()
	reply, err := r.config.Keeper.Do(ctx, request, func(ctx context.Context) (eelgrassbeam.Reply, error) {
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
func (r *Router) Recall(request eelgrassbeam.Request) Recalled {
	return r.config.Keeper.Recall(request)
}

// InProgress returns the number of requests that this entry serves as a home; a planned stop waits for them.
func (r *Router) InProgress() int { return int(r.inProgress.Load()) }

// afterLoss turns a refusal into an unknown outcome if an earlier try may still run.
func afterLoss(reply eelgrassbeam.Reply, lost bool) eelgrassbeam.Reply {
	if !lost || reply.Outcome != eelgrassbeam.OutcomeNotRun {
		return reply
	}
	unknown := eelgrassbeam.Unknown(reply.RequestID, reply.Reason)
	return unknown.WithRetryAfter(reply.RetryAfter)
}
