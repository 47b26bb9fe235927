package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// step is one scripted exchange.
type step struct {
	reply eelgrassbeam.Reply
	err   error
}

// script answers exchanges in order; the last step repeats.
type script struct {
	steps   []step
	targets []eelgrassbeam.UpstreamID
	// timesLeft are the times to the deadline that upstreams were told.
	timesLeft []time.Duration
}

func (s *script) Exchange(
	ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, _ upstream.Limits,
) (eelgrassbeam.Reply, error) {
	at := min(len(s.targets), len(s.steps)-1)
	s.targets = append(s.targets, target.ID)
	if deadline, ok := ctx.Deadline(); ok {
		s.timesLeft = append(s.timesLeft, time.Until(deadline))
	}
	reply := s.steps[at].reply
	reply.RequestID = request.ID
	return reply, s.steps[at].err
}

type openBudget struct{ allowed bool }

func (openBudget) RecordFirst(eelgrassbeam.ServiceName, float64) {}

func (b openBudget) AllowRetry(eelgrassbeam.ServiceName, float64) bool { return b.allowed }

type fixedView struct{ view *eelgrassbeam.View }

func (f fixedView) View() *eelgrassbeam.View { return f.view }

var (
	answered  = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusOK, Body: []byte("body")}}
	failed    = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusInternalServerError}}
	unmarked  = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusServiceUnavailable, Header: http.Header{"X-Server-Stamp": {"s"}}}}
	shed      = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrShed}
	elsewhere = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrElsewhere}
	unsent    = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrDial}
	broken    = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeUnknown}, err: upstream.ErrBroken}
)

func newForwarder(t *testing.T, s *script, hasBudget bool) *Forwarder {
	t.Helper()
	view := &eelgrassbeam.View{UpstreamsRevision: 1, Routing: &eelgrassbeam.Routing{
		Version: 3, Services: map[eelgrassbeam.ServiceName]eelgrassbeam.ServiceTerms{"s": {MaxConnections: 10}},
	}}
	for _, kind := range []string{"get", "post"} {
		view.Routing.Routes = append(view.Routing.Routes, eelgrassbeam.PathRoute{
			Name: kind, Host: "a.example", PathPrefix: "/" + kind + "/", Idempotent: kind == "get", Timeout: time.Second,
			TargetLatency: 400 * time.Millisecond, MaxAttempts: 2, Shares: []eelgrassbeam.ServiceShare{{Service: "s", Weight: 1}},
		})
	}
	for _, id := range []eelgrassbeam.UpstreamID{"u1", "u2", "u3"} {
		view.Upstreams = append(view.Upstreams, eelgrassbeam.Upstream{ID: id, Service: "s", State: eelgrassbeam.InstanceLive, Slots: 2})
	}
	log, _ := logrustest.NewNullLogger()
	clock, views := clockwork.NewRealClock(), fixedView{view}
	return New(Config{
		Clock: clock, Log: log, Views: views, Exchanger: s, Budget: openBudget{hasBudget}, Metrics: NewMetrics(prometheus.NewRegistry()),
		Entries: func() int { return 1 }, AffinityHeader: "X-Key",
		Picker: picker.New(picker.Config{Clock: clock, Log: log, Views: views, Entries: func() []eelgrassbeam.EntryID { return []eelgrassbeam.EntryID{""} }}),
	})
}

func call(f *Forwarder, path string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://a.example"+path, strings.NewReader("x"))
	request.Header.Set(upstream.HeaderRequestID, "r1")
	request.Header.Set(upstream.HeaderDeadline, "700")
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, request)
	return recorder
}

func TestAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		steps    []step
		noBudget bool
		status   int
		sent     int
	}{
		"answered":                                 {"/post/", []step{answered}, false, 200, 1},
		"shed, then answered":                      {"/post/", []step{shed, answered}, false, 200, 2},
		"another upstream at the address":          {"/post/", []step{elsewhere, answered}, false, 200, 2},
		"no connection, then answered":             {"/post/", []step{unsent, answered}, false, 200, 2},
		"shed by as many as the route allows":      {"/post/", []step{shed}, false, 503, 2},
		"shed without budget":                      {"/post/", []step{shed}, true, 503, 1},
		"no connection needs no budget":            {"/post/", []step{unsent, unsent, answered}, true, 200, 3},
		"may have run, not repeatable":             {"/post/", []step{broken, answered}, false, 502, 1},
		"may have run, repeatable":                 {"/get/", []step{broken, answered}, false, 200, 2},
		"may have run, repeatable, without budget": {"/get/", []step{broken, answered}, true, 502, 1},
		"server error, repeatable":                 {"/get/", []step{failed, answered}, false, 200, 2},
		"server error, not repeatable":             {"/post/", []step{failed, answered}, false, 500, 1},
		"refusal that does not say it has not run": {"/post/", []step{unmarked}, false, 502, 1},
		"no route": {"/other/", []step{answered}, false, 404, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: test.steps}
			answer := call(newForwarder(t, s, !test.noBudget), test.path)
			is.Equal(answer.Code, test.status)
			is.Equal(len(s.targets), test.sent)
			is.Equal(len(answer.Header().Values("Retry-After")) > 0, test.status == 503) // only a refusal tells when to come back
			for i := range s.targets {
				is.True(i == 0 || s.targets[i] != s.targets[i-1]) // never the same upstream again
			}
			if test.status != 200 {
				is.Equal(answer.Header().Get("X-Server-Stamp"), "")
			}
		})
	}
}

func TestDeadlineThatUpstreamsGet(t *testing.T) {
	is := is.New(t)
	s := &script{steps: []step{unsent, answered}}
	call(newForwarder(t, s, true), "/post/")
	is.True(s.timesLeft[0] <= 700*time.Millisecond) // the caller's, which is shorter than the route's
	is.True(s.timesLeft[1] <= s.timesLeft[0])
}

func TestJudgeTimeout(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	o := judge(ctx, eelgrassbeam.Unknown("r", eelgrassbeam.ReasonDeadline), errors.Join(upstream.ErrBroken, context.DeadlineExceeded))
	is.Equal(o.statusCode(), http.StatusGatewayTimeout)
	is.True(!o.isRepeatable(true))
}

func TestNotReady(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &script{steps: []step{answered}}, true)
	f.config.Views = fixedView{&eelgrassbeam.View{}}
	answer := call(f, "/get/")
	is.Equal(answer.Code, http.StatusServiceUnavailable)
	is.Equal(answer.Header().Get("Retry-After"), "0.30")
}

// An engineer who has only the log must see what an entry believed and how old that was.
func TestLogTellsWhatDecided(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &script{steps: []step{answered}}, true)
	log, hook := logrustest.NewNullLogger()
	f.config.Log = log
	is.Equal(call(f, "/get/").Code, http.StatusOK)
	fields := hook.LastEntry().Data
	for _, name := range []string{"request", "route", "configuration_version", "key", "upstream", "order", "load", "load_age_ms", "view_revision", "view_age_ms", "outcome", "status"} {
		_, found := fields[name]
		if !found {
			t.Errorf("the line lacks %s: %v", name, fields)
		}
	}
}
