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
	"github.com/eelgrassbeam/eelgrassbeam/authenticator"
	"github.com/eelgrassbeam/eelgrassbeam/bufferlimiter"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// step is the result of one scripted exchange.
type step struct {
	reply eelgrassbeam.Reply
	err   error
}

// scriptedExchanger returns its steps in order and repeats the last one.
type scriptedExchanger struct {
	steps   []step
	targets []eelgrassbeam.UpstreamID
	// requests are the requests of the exchanges, and onExchange is called with each, if set.
	requests   []eelgrassbeam.Request
	onExchange func()
	// timesLeft holds the time to the deadline of each exchange.
	timesLeft []time.Duration
}

func (s *scriptedExchanger) Exchange(
	ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, _ upstream.Limits,
) (eelgrassbeam.Reply, error) {
	at := min(len(s.targets), len(s.steps)-1)
	s.targets, s.requests = append(s.targets, target.ID), append(s.requests, request)
	if s.onExchange != nil {
		s.onExchange()
	}
	if deadline, ok := ctx.Deadline(); ok {
		s.timesLeft = append(s.timesLeft, time.Until(deadline))
	}
	reply := s.steps[at].reply
	reply.RequestID = request.ID
	return reply, s.steps[at].err
}

// testBufferBytes is the buffer budget of the forwarders under test.
const testBufferBytes = 1 << 20

type fixedBudget struct{ allowed bool }

func (fixedBudget) RecordFirstAttempt(eelgrassbeam.ServiceName, float64) {}

func (b fixedBudget) AllowRetry(eelgrassbeam.ServiceName, float64) bool { return b.allowed }

// fixedQuota rejects all requests of the teams that it holds.
type fixedQuota map[eelgrassbeam.TeamID]time.Duration

func (q fixedQuota) Admit(team *eelgrassbeam.Team) (bool, time.Duration) {
	after, isExceeded := q[team.ID]
	return !isExceeded, after
}

type fixedView struct{ view *eelgrassbeam.View }

func (f fixedView) View() *eelgrassbeam.View { return f.view }

var (
	answered          = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusOK, Body: []byte("body")}}
	serverError       = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusInternalServerError}}
	unmarkedRejection = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: http.StatusServiceUnavailable, Header: http.Header{"X-Server-Stamp": {"s"}}}}
	shed              = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrShed}
	misdirected       = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrMisdirected}
	dialFailed        = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeNotRun}, err: upstream.ErrDial}
	connectionFailed  = step{reply: eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeUnknown}, err: upstream.ErrConnectionFailed}
)

func newForwarder(t *testing.T, s *scriptedExchanger, hasBudget bool) *Forwarder {
	t.Helper()
	teams, err := authenticator.New()
	is.New(t).NoErr(err)
	view := &eelgrassbeam.View{UpstreamsRevision: 1, Routing: &eelgrassbeam.Routing{
		Version: 3, Services: map[eelgrassbeam.ServiceName]eelgrassbeam.ServiceSettings{"s": {MaxConnections: 10}},
	}}
	for _, kind := range []string{"get", "post", "with%20escape"} {
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
		Clock: clock, Log: log, Views: views, Exchanger: s, Budget: fixedBudget{hasBudget}, Metrics: NewMetrics(prometheus.NewRegistry()),
		Entries: func() int { return 1 }, AffinityHeader: "X-Key",
		Quotas: fixedQuota{}, AreTeamsCurrent: func() bool { return true }, Authenticator: teams, CredentialHeader: "X-Credential", TeamHeader: "X-Team",
		Buffers: bufferlimiter.New(bufferlimiter.Config{Bytes: testBufferBytes, Registerer: prometheus.NewRegistry()}),
		Picker:  picker.New(picker.Config{Clock: clock, Log: log, Views: views, Entries: func() []eelgrassbeam.EntryID { return []eelgrassbeam.EntryID{""} }}),
	})
}

func send(f *Forwarder, path string) *httptest.ResponseRecorder {
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
		tried    int
	}{
		"answered":                                    {"/post/", []step{answered}, false, 200, 1},
		"shed, then answered":                         {"/post/", []step{shed, answered}, false, 200, 2},
		"misdirected, then answered":                  {"/post/", []step{misdirected, answered}, false, 200, 2},
		"no connection, then answered":                {"/post/", []step{dialFailed, answered}, false, 200, 2},
		"shed until the route's attempts are used up": {"/post/", []step{shed}, false, 503, 2},
		"shed without budget":                         {"/post/", []step{shed}, true, 503, 1},
		"no connection needs no budget":               {"/post/", []step{dialFailed, dialFailed, answered}, true, 200, 3},
		"may have run, not retryable":                 {"/post/", []step{connectionFailed, answered}, false, 502, 1},
		"may have run, retryable":                     {"/get/", []step{connectionFailed, answered}, false, 200, 2},
		"may have run, retryable, without budget":     {"/get/", []step{connectionFailed, answered}, true, 502, 1},
		"server error, retryable":                     {"/get/", []step{serverError, answered}, false, 200, 2},
		"server error, not retryable":                 {"/post/", []step{serverError, answered}, false, 500, 1},
		"503 without the not-executed header":         {"/post/", []step{unmarkedRejection}, false, 502, 1},
		"no route":                                    {"/other/", []step{answered}, false, 404, 0},
		"escaped prefix":                              {"/with%20escape/", []step{answered}, false, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedExchanger{steps: test.steps}
			response := send(newForwarder(t, s, !test.noBudget), test.path)
			is.Equal(response.Code, test.status)
			is.Equal(len(s.targets), test.tried)
			is.Equal(len(response.Header().Values("Retry-After")) > 0, test.status == 503) // only 503 responses have a Retry-After header
			for i := range s.targets {
				is.True(i == 0 || s.targets[i] != s.targets[i-1]) // no two consecutive attempts at one upstream
			}
			if test.status != 200 {
				is.Equal(response.Header().Get("X-Server-Stamp"), "")
			}
		})
	}
}

func TestUpstreamDeadline(t *testing.T) {
	is := is.New(t)
	s := &scriptedExchanger{steps: []step{dialFailed, answered}}
	send(newForwarder(t, s, true), "/post/")
	is.True(s.timesLeft[0] <= 700*time.Millisecond) // the caller's deadline, which is shorter than the route's timeout
	is.True(s.timesLeft[1] <= s.timesLeft[0])
}

func TestClassifyTimeout(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	o := classify(ctx, eelgrassbeam.Unknown("r", eelgrassbeam.ReasonDeadline), errors.Join(upstream.ErrConnectionFailed, context.DeadlineExceeded))
	is.Equal(o.statusCode(), http.StatusGatewayTimeout)
	is.True(!o.isRetryable(true))
}

func TestNotReady(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &scriptedExchanger{steps: []step{answered}}, true)
	f.config.Views = fixedView{&eelgrassbeam.View{}}
	response := send(f, "/get/")
	is.Equal(response.Code, http.StatusServiceUnavailable)
	is.Equal(response.Header().Get("Retry-After"), "0.30")
}

// Guards against log lines that lack the inputs of a routing decision and their age: an engineer may have only the log.
func TestLogContainsDecisionInputs(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &scriptedExchanger{steps: []step{answered}}, true)
	log, hook := logrustest.NewNullLogger()
	f.config.Log = log
	is.Equal(send(f, "/get/").Code, http.StatusOK)
	fields := hook.LastEntry().Data
	for _, name := range []string{"request", "route", "configuration_version", "key", "upstream", "order", "load", "load_age_ms", "view_revision", "view_age_ms", "outcome", "status"} {
		_, found := fields[name]
		if !found {
			t.Errorf("log line lacks field %s: %v", name, fields)
		}
	}
}

// Guards against a 404 whose log line does not tell which routes it was decided by.
func TestLogContainsInputsOfNoRoute(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &scriptedExchanger{steps: []step{answered}}, true)
	log, hook := logrustest.NewNullLogger()
	f.config.Log = log
	is.Equal(send(f, "/other/"+strings.Repeat("a", 2*maxLoggedPath)).Code, http.StatusNotFound)
	routing := f.config.Views.View().Routing
	fields := hook.LastEntry().Data
	is.Equal(fields["reason"], eelgrassbeam.ReasonNoRoute)
	is.Equal(fields["host"], "a.example")
	is.Equal(len(fields["path"].(string)), maxLoggedPath)
	is.Equal(fields["configuration_version"], routing.Version)
	is.Equal(fields["routes"], len(routing.Routes))
}

// Guards against requests that are sent to an upstream although the entry has no memory left for their responses.
func TestNoBufferSpace(t *testing.T) {
	is := is.New(t)
	s := &scriptedExchanger{steps: []step{answered}}
	f := newForwarder(t, s, true)
	var releases []func()
	for {
		release, err := f.config.Buffers.ReserveRequest(bufferlimiter.ResponseReserve, true)
		if err != nil {
			break
		}
		releases = append(releases, release)
	}
	response := send(f, "/post/")
	is.Equal(response.Code, http.StatusServiceUnavailable)
	is.True(response.Header().Get("Retry-After") != "")
	is.Equal(len(s.targets), 0)
	for _, release := range releases {
		release()
	}
	for range 2 * testBufferBytes / bufferlimiter.ResponseReserve { // the space is returned after each request
		is.Equal(send(f, "/post/").Code, http.StatusOK)
	}
}

// Guards against an upstream that sends its response too slowly being selected again and again.
func TestClassifyIncompleteResponse(t *testing.T) {
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelExpired()
	left, leave := context.WithCancel(t.Context())
	leave()
	unknown := eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeUnknown}
	for name, test := range map[string]struct {
		ctx    context.Context
		err    error
		result picker.Result
		status int
	}{
		"incomplete at the deadline":      {expired, upstream.ErrTruncated, picker.ResultConnectionFailed, http.StatusGatewayTimeout},
		"no response at the deadline":     {expired, upstream.ErrConnectionFailed, picker.ResultAbandoned, http.StatusGatewayTimeout},
		"no buffer space at the deadline": {expired, upstream.ErrNoBuffer, picker.ResultAbandoned, http.StatusGatewayTimeout},
		"the caller has left":             {left, upstream.ErrTruncated, picker.ResultAbandoned, http.StatusGatewayTimeout},
		"too large":                       {t.Context(), upstream.ErrTooLarge, picker.ResultConnectionFailed, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := classify(test.ctx, unknown, test.err)
			is.Equal(o.result, test.result)
			is.Equal(o.statusCode(), test.status)
		})
	}
}
