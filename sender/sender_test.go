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
	"github.com/eelgrassbeam/eelgrassbeam/retrylimiter"
)

var errLost = errors.New("connection lost")

// fakeRemote is a Remote that runs each attempt and can lose the request, the reply or the cancel call.
type fakeRemote struct {
	runs                                 int
	unreachable, loseRequest, loseCancel bool
	// failAfterRun makes the remote unreachable after its first run.
	failAfterRun bool
	loseReplies  int
	barred       map[eelgrassbeam.RequestID]bool
	replies      map[eelgrassbeam.RequestID]eelgrassbeam.Reply
}

func (r *fakeRemote) Incarnation(context.Context, eelgrassbeam.Entry) (uint64, error) {
	if r.unreachable || r.failAfterRun && r.runs > 0 {
		return 0, errLost
	}
	return 1, nil
}

func (r *fakeRemote) Forward(_ context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
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

func (r *fakeRemote) Cancel(
	_ context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request, _ time.Duration,
) (eelgrassbeam.Cancellation, *eelgrassbeam.Reply, error) {
	if r.loseCancel {
		return "", nil, errLost
	}
	if reply, ok := r.replies[request.AttemptID]; ok {
		return eelgrassbeam.CancelDone, &reply, nil
	}
	r.barred[request.AttemptID] = true
	return eelgrassbeam.CancelNotStarted, nil, nil
}

// fakeFleet is a fleet with one remote site and its dispatcher; it always chooses that site.
type fakeFleet struct{}

func (fakeFleet) Fleet() *eelgrassbeam.Fleet { return &eelgrassbeam.Fleet{} }

func (fakeFleet) Configuration() (*eelgrassbeam.Configuration, bool) {
	return &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		Services: []eelgrassbeam.Service{{Name: "booking", RetryShare: 0.1}},
	}}, true
}

func (fakeFleet) Choose(eelgrassbeam.Request, []eelgrassbeam.Site, time.Time) (Choice, error) {
	return Choice{Site: eelgrassbeam.Site{Service: "booking", Zone: "z1"}}, nil
}

func (fakeFleet) Observe(eelgrassbeam.Site, eelgrassbeam.SiteLoad, time.Time) {}

func (fakeFleet) Owner(*eelgrassbeam.Fleet, eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	return eelgrassbeam.Entry{ID: "dispatcher"}, true
}

func send(t *testing.T, r *fakeRemote, idempotent, resendUnknown bool) eelgrassbeam.Reply {
	t.Helper()
	r.barred, r.replies = make(map[eelgrassbeam.RequestID]bool), make(map[eelgrassbeam.RequestID]eelgrassbeam.Reply)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := New(Config{
		Self: eelgrassbeam.Entry{ID: "origin"}, Clock: clockwork.NewRealClock(), Log: log, Fleet: fakeFleet{},
		Configuration: fakeFleet{}, Chooser: fakeFleet{}, Budget: retrylimiter.New(retrylimiter.Config{}), Owners: fakeFleet{}, Remote: r,
		ResendUnknown: resendUnknown,
	})
	return s.Send(t.Context(), eelgrassbeam.Request{
		ID: "r1", Service: "booking", Idempotent: idempotent, TimeLeft: eelgrassbeam.Milliseconds(200),
	})
}

func TestSend(t *testing.T) {
	assert := func(t *testing.T, reply eelgrassbeam.Reply, outcome eelgrassbeam.Outcome, r *fakeRemote, runs int) {
		t.Helper()
		is := is.New(t)
		is.Equal(reply.Outcome, outcome)
		is.Equal(r.runs, runs)
	}
	t.Run("a lost reply is fetched with a cancel call", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 1}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeAnswered, r, 1)
	})
	t.Run("a request that did not arrive is cancelled and reported as not run", func(t *testing.T) {
		r := &fakeRemote{loseRequest: true}
		reply := send(t, r, false, false)
		assert(t, reply, eelgrassbeam.OutcomeNotRun, r, 0)
		is.New(t).True(len(r.barred) > 0)
	})
	t.Run("a request to an unreachable entry is reported as not run", func(t *testing.T) {
		r := &fakeRemote{unreachable: true}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeNotRun, r, 0)
	})
	t.Run("a non-idempotent request of unknown outcome is not retried", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 1, loseCancel: true}
		assert(t, send(t, r, false, false), eelgrassbeam.OutcomeUnknown, r, 1)
	})
	t.Run("a non-idempotent request runs twice with ResendUnknown", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 1, loseCancel: true}
		assert(t, send(t, r, false, true), eelgrassbeam.OutcomeAnswered, r, 2)
	})
	t.Run("an idempotent request of unknown outcome is retried", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 1, loseCancel: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeAnswered, r, 2)
	})
	t.Run("a request that may have run is not reported as not run after a failed retry", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 1, loseCancel: true, failAfterRun: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeUnknown, r, 1)
	})
	t.Run("retries stop after maxAttempts attempts", func(t *testing.T) {
		r := &fakeRemote{loseReplies: 100, loseCancel: true}
		assert(t, send(t, r, true, false), eelgrassbeam.OutcomeUnknown, r, maxAttempts)
	})
}
