package directserver

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

const testTimeout = 20 * time.Second

// idleRunner stands in for the log writer.
type idleRunner struct{}

func (idleRunner) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// testCluster is a store with two upstreams and any number of entries on loopback.
type testCluster struct {
	platform *standin.Platform
	store    netip.AddrPort
	seeds    []netip.AddrPort
	entries  []*testEntry
	// requests and registrations count those of the tests of the restored store.
	requests, registrations int
	// revokeLimit makes entries strict about credentials that may have been taken away, unless it is zero.
	revokeLimit time.Duration
	// stopGrace is the time that entries have to stop, 6 s if zero.
	stopGrace time.Duration
}

type testEntry struct {
	settings platform.Settings
	signals  chan os.Signal
	done     chan error
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// addressCount counts the addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an unused port of a loopback address of its own, so that no outgoing connection takes the port
// before it is listened on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	count := addressCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+count/250%250, 1+count%250)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", host+":0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// backendServer responds as an upstream of the platform does, after the given delay.
func backendServer(id string, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderExpectInstance) != id {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set(platform.HeaderServerLoad, "1,0,3")
		w.Header().Set(platform.HeaderServerStamp, id)
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
	})
}

func newTestCluster(t *testing.T, delay time.Duration) *testCluster {
	t.Helper()
	store := standin.NewPlatform(standin.PlatformConfig{Clock: clockwork.NewRealClock()})
	t.Cleanup(store.Close)
	s := &testCluster{platform: store, store: serve(t, store)}
	for _, id := range []string{"u1", "u2"} {
		address := serve(t, backendServer(id, delay))
		s.put(t, platform.KindUpstreams, id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z1","slots":3,"state":"ready","cold_remaining":"0ms","sequence":1,"born":1}`, address))
	}
	return s
}

// put creates or replaces the object.
func (s *testCluster) put(t *testing.T, kind, name, spec string) {
	t.Helper()
	is := is.New(t)
	client := s.client(t)
	object, err := client.Get(t.Context(), kind, name)
	if err != nil {
		_, err = client.Create(t.Context(), kind, name, []byte(spec))
		is.NoErr(err)
		return
	}
	object.Value = []byte(spec)
	_, err = client.Update(t.Context(), object)
	is.NoErr(err)
}

func (s *testCluster) client(t *testing.T) *platform.Client {
	t.Helper()
	client, err := platform.New(platform.Config{URL: "http://" + s.store.String(), Clock: clockwork.NewRealClock(), Log: discardLog()})
	is.New(t).NoErr(err)
	return client
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func configuration(version int, prefix string) string {
	route := map[string]any{
		"host": "a.example", "path_prefix": prefix, "kind": "non_idempotent", "timeout": "5s", "target_latency": "1s",
		"service": "s", "max_attempts": 2, "sticky_sessions": true,
	}
	text, err := json.Marshal(map[string]any{"version": version, "resources": []any{
		map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": "r"}, "spec": route},
		map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": "s"}, "spec": map[string]any{"max_connections": 50}},
	}})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// start starts an entry without waiting for its readiness.
func (s *testCluster) start(t *testing.T, name string) *testEntry {
	t.Helper()
	is := is.New(t)
	settings := platform.Settings{
		ID: eelgrassbeam.EntryID(name), Zone: "z1", Region: "r1", Regions: map[eelgrassbeam.ZoneID]eelgrassbeam.RegionID{"z1": "r1", "z2": "r1"},
		CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t), PeerAddress: freeAddress(t), DirectoryAddress: freeAddress(t),
		MetricsAddress: freeAddress(t), StoreAddress: s.store, Seeds: s.seeds, LookupTTL: 5 * time.Second, StopGrace: cmp.Or(s.stopGrace, 6*time.Second),
		RevokeLimit: s.revokeLimit, IsRevokeStrict: s.revokeLimit > 0,
	}
	s.seeds = append(s.seeds, settings.PeerAddress)
	f, err := New(Config{
		Settings: settings, ReadSettings: func() (platform.Settings, error) { return settings, nil }, Clock: clockwork.NewRealClock(), Log: discardLog(), LogWriter: idleRunner{},
	})
	is.NoErr(err)
	e := &testEntry{settings: settings, signals: make(chan os.Signal, 1), done: make(chan error, 1)}
	s.entries = append(s.entries, e)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		e.done <- f.Run(ctx, e.signals)
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return e
}

// fetch returns the status and the body of the response, or zero and the error's text if the request fails.
func fetch(t *testing.T, method, url, id, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(text)
}

func (e *testEntry) post(t *testing.T, path, id string) (int, string) {
	t.Helper()
	return fetch(t, http.MethodPost, "http://"+e.settings.CallerAddress.String()+path, id, "body")
}

func (e *testEntry) readyStatus(t *testing.T) int {
	t.Helper()
	status, _ := fetch(t, http.MethodGet, "http://"+e.settings.ReadyAddress.String()+"/ready", "", "")
	return status
}

func (e *testEntry) lookup(t *testing.T) string {
	t.Helper()
	_, text := fetch(t, http.MethodGet, "http://"+e.settings.DirectoryAddress.String()+"/resolve?name=a.example&region=r1&zone=z1", "", "")
	return text
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	within(t, testTimeout, what, condition)
}

func within(t *testing.T, bound time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func TestEntry(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t, 0)
	first := s.start(t, "e1")
	t.Run("not ready and refusing requests without routes", func(t *testing.T) {
		is := is.New(t)
		eventually(t, "listening", func() bool { return first.readyStatus(t) != 0 })
		is.Equal(first.readyStatus(t), http.StatusServiceUnavailable)
		status, _ := first.post(t, "/p/", "r0")
		is.Equal(status, http.StatusServiceUnavailable)
	})
	s.put(t, platform.KindConfiguration, platform.MainConfiguration, configuration(1, "/p/"))
	eventually(t, "readiness of the first entry", func() bool { return first.readyStatus(t) == http.StatusOK })
	t.Run("requests are routed", func(t *testing.T) {
		is := is.New(t)
		status, text := first.post(t, "/p/x", "r1")
		is.Equal(status, http.StatusOK)
		is.True(strings.HasSuffix(text, " /p/x body"))
		status, _ = first.post(t, "/other/", "r2")
		is.Equal(status, http.StatusNotFound)
	})
	second := s.start(t, "e2")
	t.Run("entries discover each other and return each other in lookups", func(*testing.T) {
		eventually(t, "lookups of both entries return both", func() bool {
			for _, queried := range s.entries {
				if response := queried.lookup(t); !strings.Contains(response, first.settings.CallerAddress.String()) || !strings.Contains(response, second.settings.CallerAddress.String()) {
					return false
				}
			}
			return true
		})
	})
	t.Run("a configuration change reaches all entries", func(t *testing.T) {
		s.put(t, platform.KindConfiguration, platform.MainConfiguration, configuration(2, "/q/"))
		eventually(t, "version 2 on both entries", func() bool {
			a, _ := first.post(t, "/q/", "r3")
			b, _ := second.post(t, "/q/", "r4")
			return a == http.StatusOK && b == http.StatusOK
		})
		status, _ := first.post(t, "/p/", "r5")
		is := is.New(t)
		is.Equal(status, http.StatusNotFound)
	})
	t.Run("metrics", func(t *testing.T) {
		_, text := fetch(t, http.MethodGet, "http://"+first.settings.MetricsAddress.String()+"/metrics", "", "")
		is := is.New(t)
		is.True(strings.Contains(text, `eelgrassbeam_requests_total{outcome="answered"`))
	})
	t.Run("SIGHUP does not stop the entry", func(t *testing.T) {
		first.signals <- syscall.SIGHUP
		status, _ := first.post(t, "/q/", "r6")
		is := is.New(t)
		is.Equal(status, http.StatusOK)
		is.Equal(len(first.done), 0)
	})
	is.Equal(len(second.done), 0)
}

func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	s := newTestCluster(t, 800*time.Millisecond)
	s.put(t, platform.KindConfiguration, platform.MainConfiguration, configuration(1, "/p/"))
	e, other := s.start(t, "e1"), s.start(t, "e2")
	eventually(t, "ready", func() bool { return e.readyStatus(t) == http.StatusOK && other.readyStatus(t) == http.StatusOK })
	eventually(t, "known", func() bool { return strings.Contains(other.lookup(t), e.settings.CallerAddress.String()) })
	var group errgroup.Group
	for i := range 5 {
		group.Go(func() error {
			if status, text := e.post(t, "/p/", fmt.Sprint("r", i)); status != http.StatusOK {
				return fmt.Errorf("request %d: %d %s", i, status, text)
			}
			return nil
		})
	}
	e.signals <- syscall.SIGTERM
	eventually(t, "readiness to fail", func() bool { return e.readyStatus(t) == http.StatusServiceUnavailable })
	eventually(t, "removed from lookups", func() bool { return !strings.Contains(other.lookup(t), e.settings.CallerAddress.String()) })
	status, _ := e.post(t, "/p/", "late") // a caller with a cached lookup is still served
	is.Equal(status, http.StatusOK)
	is.NoErr(group.Wait())
	select {
	case err := <-e.done:
		is.NoErr(err)
	case <-time.After(e.settings.StopGrace):
		t.Error("the entry did not exit within its grace period")
	}
}
