package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// changingView is a ViewSource whose routing the test replaces.
type changingView struct{ view *eelgrassbeam.View }

func (c *changingView) View() *eelgrassbeam.View { return c.view }

// newTeamForwarder returns a forwarder with the teams a, bound to region east, and b, and a public route.
func newTeamForwarder(t *testing.T, s *scriptedExchanger) (*Forwarder, *changingView) {
	t.Helper()
	f := newForwarder(t, s, true)
	routing := *f.config.Views.View().Routing
	routing.Teams = []eelgrassbeam.Team{
		{ID: "a", Credentials: []eelgrassbeam.Credential{"ka"}, Regions: []eelgrassbeam.RegionID{"east"}},
		{ID: "b", Credentials: []eelgrassbeam.Credential{"kb"}, Priority: 2, HasPriority: true},
	}
	routing.Routes = append([]eelgrassbeam.PathRoute{}, routing.Routes...)
	public := routing.Routes[0]
	public.Name, public.PathPrefix, public.IsPublic = "public", "/public/", true
	routing.Routes = append(routing.Routes, public)
	view := f.config.Views.View().WithRouting(&routing, 2)
	for i := range view.Upstreams {
		view.Upstreams[i].Region = []eelgrassbeam.RegionID{"east", "west", "west"}[i]
	}
	views := &changingView{view: view}
	f.config.Views = views
	return f, views
}

func (c *changingView) takeCredentialAway() {
	routing := *c.view.Routing
	routing.Version++
	routing.Teams = []eelgrassbeam.Team{routing.Teams[0], {ID: "b"}}
	c.view = c.view.WithRouting(&routing, 3)
}

func sendWith(f *Forwarder, path string, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://a.example"+path, strings.NewReader("x"))
	request.Header = header
	request.Header.Set(upstream.HeaderRequestID, "r1")
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, request)
	return recorder
}

func TestCredentials(t *testing.T) {
	long := strings.Repeat("k", 1000)
	for name, test := range map[string]struct {
		path   string
		header http.Header
		status int
		team   eelgrassbeam.TeamID
	}{
		"known":                             {"/post/", http.Header{"X-Credential": {"kb"}}, 200, "b"},
		"known, with another team's name":   {"/post/", http.Header{"X-Credential": {"kb"}, "X-Team": {"a"}}, 200, "b"},
		"missing":                           {"/post/", http.Header{}, 401, ""},
		"missing, with a team's name":       {"/post/", http.Header{"X-Team": {"a"}}, 401, ""},
		"empty":                             {"/post/", http.Header{"X-Credential": {""}}, 401, ""},
		"twice":                             {"/post/", http.Header{"X-Credential": {"kb", "kb"}}, 401, ""},
		"too long":                          {"/post/", http.Header{"X-Credential": {long}}, 401, ""},
		"unknown":                           {"/get/", http.Header{"X-Credential": {"other"}}, 401, ""},
		"public, missing":                   {"/public/", http.Header{"X-Team": {"a"}}, 200, ""},
		"public, unknown":                   {"/public/", http.Header{"X-Credential": {"other"}}, 200, ""},
		"public, known":                     {"/public/", http.Header{"X-Credential": {"kb"}}, 200, "b"},
		"no route, whatever the credential": {"/other/", http.Header{}, 404, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedExchanger{steps: []step{answered}}
			f, _ := newTeamForwarder(t, s)
			response := sendWith(f, test.path, test.header)
			is.Equal(response.Code, test.status)
			is.Equal(len(s.requests) > 0, test.status == 200)
			for _, request := range s.requests {
				is.Equal(request.Team, test.team)
				is.Equal(request.Header.Values("X-Credential"), nil)
				is.Equal(request.Header.Values("X-Team"), nil) // the client of upstreams sets it
			}
		})
	}
}

func TestCredentialTakenAway(t *testing.T) {
	t.Run("before the next request", func(t *testing.T) {
		s := &scriptedExchanger{steps: []step{answered}}
		f, views := newTeamForwarder(t, s)
		is := is.New(t)
		is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}}).Code, 200)
		views.takeCredentialAway()
		is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}}).Code, 401)
		is.Equal(len(s.requests), 1)
	})
	t.Run("before another attempt of a request that hasn't run", func(t *testing.T) {
		s := &scriptedExchanger{steps: []step{shed, answered}}
		f, views := newTeamForwarder(t, s)
		s.onExchange = views.takeCredentialAway
		is := is.New(t)
		is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}}).Code, 401)
		is.Equal(len(s.requests), 1)
	})
	t.Run("before another attempt of a request that may have run", func(t *testing.T) {
		s := &scriptedExchanger{steps: []step{connectionFailed, answered}}
		f, views := newTeamForwarder(t, s)
		s.onExchange = views.takeCredentialAway
		is := is.New(t)
		is.Equal(sendWith(f, "/get/", http.Header{"X-Credential": {"kb"}}).Code, 502)
		is.Equal(len(s.requests), 1)
	})
}

// Guards against requests of a team that leave the team's regions, at first or on another attempt.
func TestTeamRegions(t *testing.T) {
	s := &scriptedExchanger{steps: []step{shed, answered}}
	f, _ := newTeamForwarder(t, s)
	is := is.New(t)
	is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"ka"}}).Code, 503)
	is.Equal(s.targets, []eelgrassbeam.UpstreamID{"u1"})
}

// Guards against credentials that are accepted although they may have been taken away. The caller may try another entry.
func TestTeamsThatMayBeOld(t *testing.T) {
	s := &scriptedExchanger{steps: []step{answered}}
	f, _ := newTeamForwarder(t, s)
	f.config.AreTeamsCurrent = func() bool { return false }
	is := is.New(t)
	is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}}).Code, 503)
	is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"other"}}).Code, 401)
	is.Equal(len(s.requests), 0)
	is.Equal(sendWith(f, "/public/", http.Header{}).Code, 200)
}

func TestQuota(t *testing.T) {
	s := &scriptedExchanger{steps: []step{answered}}
	f, _ := newTeamForwarder(t, s)
	f.config.Quotas = fixedQuota{"b": 1500 * time.Millisecond}
	is := is.New(t)
	response := sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}})
	is.Equal(response.Code, 429)
	is.Equal(response.Header().Get("Retry-After"), "1.50")
	is.Equal(len(s.requests), 0)
	is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"ka"}}).Code, 200)
}

func TestRouteWithoutService(t *testing.T) {
	s := &scriptedExchanger{steps: []step{answered}}
	f, views := newTeamForwarder(t, s)
	for i := range views.view.Routing.Routes {
		views.view.Routing.Routes[i].Shares = nil
	}
	is := is.New(t)
	is.Equal(sendWith(f, "/post/", http.Header{"X-Credential": {"kb"}}).Code, 503)
	is.Equal(len(s.requests), 0)
}
