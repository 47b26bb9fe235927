package sender

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/retrier"
)

var errLost = errors.New("connection lost")

// receiver is a Remote that runs each attempt it gets and may lose the reply, the request or the connection.
type receiver struct {
	runs                            int
	unreached, loseRequest, loseAll bool
	// dies makes the receiver unreachable after its first run.
	dies        bool
	loseReplies int
	barred      map[eelgrassbeam.RequestID]bool
	replies     map[eelgrassbeam.RequestID]eelgrassbeam.Reply
}

func (r *receiver) Greet(context.Context, eelgrassbeam.Entry) (uint64, error) {
	if r.unreached || r.dies && r.runs > 0 {
		return 0, errLost
	}
	return 1, nil
}

func (r *receiver) Forward(_ context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	if r.loseRequest {
		return eelgrassbeam.Reply{}, errLost
	}
	r.runs++
	reply := eelgrassbeam.Reply{RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered, Status: 200}
	r.replies[request.AttemptID] = reply
	if r.loseReplies > 0 {
		r.loseReplies--
		return eelgrassbeam.Reply{}, errLost
	}
	return reply, nil
}

func (r *receiver) Cancel(
	_ context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request, _ time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply, error) {
	if r.loseAll {
		return "", nil, errLost
	}
	if reply, ok := r.replies[request.AttemptID]; ok {
		return eelgrassbeam.CancelDone, &reply, nil
	}
	r.barred[request.AttemptID] = true
	return eelgrassbeam.CancelNotStarted, nil, nil
}

// fleet is one remote site with its dispatcher.
type fleet struct{}

func (fleet) Fleet() *eelgrassbeam.Fleet { return &eelgrassbeam.Fleet{} }

func (fleet) Configuration() (*eelgrassbeam.Configuration, bool) {
	return &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		Services: []eelgrassbeam.Service{{Name: "booking", RetryShare: 0.1}},
	}}, true
}

func (fleet) Choose(eelgrassbeam.Request, []eelgrassbeam.Site, time.Time) (Choice, error) {
	return Choice{Site: eelgrassbeam.Site{Service: "booking", Zone: "z1"}}, nil
}

func (fleet) Observe(eelgrassbeam.Site, eelgrassbeam.SiteLoad, time.Time) {}

func (fleet) Owner(*eelgrassbeam.Fleet, eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	return eelgrassbeam.Entry{ID: "dispatcher"}, true
}

func send(t *testing.T, r *receiver, idempotent, resendUnknown bool) eelgrassbeam.Reply {
	t.Helper()
	r.barred, r.replies = make(map[eelgrassbeam.RequestID]bool), make(map[eelgrassbeam.RequestID]eelgrassbeam.Reply)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := New(Config{
		Self: eelgrassbeam.Entry{ID: "origin"}, Clock: clockwork.NewRealClock(), Log: log, Fleet: fleet{},
		Configuration: fleet{}, Chooser: fleet{}, Budget: retrier.New(retrier.Config{}), Owners: fleet{}, Remote: r,
		ResendUnknown: resendUnknown,
	})
	return s.Send(t.Context(), eelgrassbeam.Request{
		ID: "r1", Service: "booking", Idempotent: idempotent, TimeLeft: eelgrassbeam.Milliseconds(200),
	})
}

func TestSend(t *testing.T) {
	assert := func(t *testing.T, reply eelgrassbeam.Reply, outcome eelgrassbeam.Outcome, r *receiver, runs int) {
		t.Helper()
		is := is.New(t)
		is.Equal(reply.Outcome, outcome)
		is.Equal(r.runs, runs)
	}
	t.Run("a lost reply is asked for", func(t *testing.T) {
		r := &receiver{loseReplies: 1}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeAnswered, r, 1)
	})
	t.Run("a request that did not arrive is barred and reported as not run", func(t *testing.T) {
		r := &receiver{loseRequest: true}
		reply := send(t, r, false, false)
		assert(t, reply, eelgrassbeam.OutcomeNotRun, r, 0)
		is.New(t).True(len(r.barred) > 0)
	})
	t.Run("an entry that can't be reached is told as not run", func(t *testing.T) {
		r := &receiver{unreached: true}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeNotRun, r, 0)
	})
	t.Run("a non-idempotent request of unknown outcome is not sent again", func(t *testing.T) {
		r := &receiver{loseReplies: 1, loseAll: true}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeUnknown, r, 1)
	})
	t.Run("without the guard it runs twice", func(t *testing.T) {
		r := &receiver{loseReplies: 1, loseAll: true}
		assert(t, send(t, r, false, true), eelgrassbeam.OutcomeAnswered, r, 2)
	})
	t.Run("an idempotent one is sent again", func(t *testing.T) {
		r := &receiver{loseReplies: 1, loseAll: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeAnswered, r, 2)
	})
	t.Run("what may have run is not reported as not run after a retry that was refused", func(t *testing.T) {
		r := &receiver{loseReplies: 1, loseAll: true, dies: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeUnknown, r, 1)
	})
	t.Run("retries end with the budget", func(t *testing.T) {
		r := &receiver{loseReplies: 100, loseAll: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeUnknown, r, maxAttempts)
	})
}
