package directserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// teamConfiguration has a team with the credential and a quota in requests per second, zero for none.
func teamConfiguration(t *testing.T, version int, credential string, perSecond float64) string {
	t.Helper()
	var base map[string]any
	is.New(t).NoErr(json.Unmarshal([]byte(configuration(version, "/p/")), &base))
	base["resources"] = append(base["resources"].([]any), map[string]any{
		"resource_kind": "tenants", "metadata": map[string]any{"name": "house"},
		"spec": map[string]any{"api_keys": []string{credential}, "rate_per_s": perSecond, "burst": perSecond},
	})
	text, err := json.Marshal(base)
	is.New(t).NoErr(err)
	return string(text)
}

// send sends a request with the credential and returns the status and the Retry-After header.
func (e *testEntry) send(t *testing.T, id, credential string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.settings.CallerAddress.String()+"/p/x", strings.NewReader("body"))
	is.New(t).NoErr(err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(platform.HeaderTeam, "forged")
	if credential != "" {
		request.Header.Set(platform.HeaderCredential, credential)
	}
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards the whole way of teams through two entries: credentials, what upstreams see, a credential that is taken away, and a
// quota that both entries share.
func TestTeams(t *testing.T) {
	s := newTestCluster(t, 0)
	var leaked, runs atomic.Int32
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderCredential) != "" || r.Header.Get(platform.HeaderTeam) != "house" {
			leaked.Add(1)
		}
		runs.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set(platform.HeaderServerStamp, "house")
		_, _ = io.WriteString(w, "ok")
	}))
	for _, id := range []string{"u1", "u2"} {
		s.put(t, platform.KindUpstreams, id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z1","slots":30,"state":"ready","cold_remaining":"0ms","sequence":2,"born":2}`, address))
	}
	s.put(t, platform.KindConfiguration, platform.MainConfiguration, teamConfiguration(t, 1, "first", 0))
	entries := []*testEntry{s.start(t, "e1"), s.start(t, "e2")}
	for _, e := range entries {
		eventually(t, "readiness", func() bool { return e.readyStatus(t) == http.StatusOK })
	}
	t.Run("credentials", func(t *testing.T) {
		for _, e := range entries {
			for credential, want := range map[string]int{"first": 200, "": 401, "other": 401} {
				status, _ := e.send(t, "r-"+credential, credential)
				is.New(t).Equal(status, want)
			}
		}
		is.New(t).Equal(runs.Load(), int32(2))
	})
	t.Run("a credential is taken away", func(t *testing.T) {
		s.put(t, platform.KindConfiguration, platform.MainConfiguration, teamConfiguration(t, 2, "second", 0))
		for i, e := range entries {
			eventually(t, "the new credential", func() bool {
				status, _ := e.send(t, fmt.Sprintf("n%d", i), "second")
				return status == http.StatusOK
			})
			status, _ := e.send(t, "gone", "first")
			is.New(t).Equal(status, http.StatusUnauthorized)
		}
	})
	t.Run("a quota of both entries", func(t *testing.T) {
		const perSecond, length = 20, 3 * time.Second
		s.put(t, platform.KindConfiguration, platform.MainConfiguration, teamConfiguration(t, 3, "second", perSecond))
		admitted, rejected, begin := 0, 0, time.Time{}
		for i := 0; begin.IsZero() || time.Since(begin) < length; i++ {
			status, after := entries[i%2].send(t, fmt.Sprintf("q%d", i), "second")
			switch {
			case status == http.StatusTooManyRequests:
				is.New(t).True(after != "")
				if begin.IsZero() {
					begin = time.Now() // the quota is in force
				}
				rejected++
			case !begin.IsZero():
				admitted++
			}
			<-time.After(2 * time.Millisecond)
		}
		is := is.New(t)
		is.True(rejected > admitted)
		is.True(admitted <= 2*perSecond*int(length.Seconds()))
		is.True(admitted >= perSecond) // a team beyond its quota still gets some
	})
	is.New(t).Equal(leaked.Load(), int32(0))
}

// Guards against an entry that goes on to accept credentials which may have been taken away, where the settings forbid it. The
// third entry doesn't watch the store and knows from peers that its teams are current.
func TestStrictRevocation(t *testing.T) {
	s := newTestCluster(t, 0)
	s.revokeLimit = 3 * time.Second
	s.put(t, platform.KindConfiguration, platform.MainConfiguration, teamConfiguration(t, 1, "first", 0))
	entries := []*testEntry{s.start(t, "e1"), s.start(t, "e2"), s.start(t, "e3")}
	accepts := func(e *testEntry) bool {
		status, _ := e.send(t, "r", "first")
		return status == http.StatusOK
	}
	for _, e := range entries {
		eventually(t, "readiness", func() bool { return e.readyStatus(t) == http.StatusOK })
		eventually(t, "teams that are current", func() bool { return accepts(e) })
	}
	for range 25 { // longer than the limit
		for _, e := range entries {
			is.New(t).True(accepts(e))
		}
		<-time.After(200 * time.Millisecond)
	}
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	for _, e := range entries {
		within(t, s.revokeLimit+2*time.Second, "a rejection", func() bool {
			status, _ := e.send(t, "r", "first")
			return status == http.StatusServiceUnavailable
		})
	}
	s.platform.SetFaults(standin.PlatformFaults{})
	for _, e := range entries {
		eventually(t, "teams that are current again", func() bool { return accepts(e) })
	}
}
