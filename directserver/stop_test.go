package directserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// arrivalInterval is the time between the requests of a test that sends them at any moment of a stop.
const arrivalInterval = 100 * time.Millisecond

// newStoppingCluster returns a running entry with the given grace period, whose two upstreams have three slots each and take
// the given time for a request, and a function that reports whether a request has reached an upstream.
func newStoppingCluster(t *testing.T, grace, work, timeout time.Duration) (e *testEntry, hasRun func(id string) bool) {
	t.Helper()
	s := newTestCluster(t, 0)
	s.stopGrace = grace
	var runs sync.Map
	for _, id := range []string{"u1", "u2"} {
		next := backendServer(id, work)
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Store(r.Header.Get("X-Request-Id"), true)
			next.ServeHTTP(w, r)
		}))
		s.put(t, platform.KindUpstreams, id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z1","slots":3,"state":"ready","cold_remaining":"0ms","sequence":2,"born":2}`, address))
	}
	s.put(t, platform.KindConfiguration, platform.MainConfiguration, fmt.Sprintf(`{"version":1,"resources":[
		{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"host":"a.example","path_prefix":"/p/","kind":"non_idempotent",
		"timeout":%q,"target_latency":%q,"service":"s"}}]}`, timeout, timeout))
	e = s.start(t, "e1")
	eventually(t, "readiness", func() bool { return e.readyStatus(t) == http.StatusOK })
	return e, func(id string) bool {
		_, ok := runs.Load(id)
		return ok
	}
}

// postOn sends a request on a connection that is open already and returns the status of the response, zero if there is none.
func postOn(conn net.Conn, id string) int {
	if _, err := fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against requests that arrive during a stop, are forwarded to an upstream and cut without an answer at the end of the
// grace period. Each arrives on its own connection, every other one of which was open before.
func TestStopAnswersWhatItPassesOn(t *testing.T) {
	const grace = 2 * time.Second
	e, hasRun := newStoppingCluster(t, grace, 500*time.Millisecond, 5*time.Second)
	statuses := make([]int, grace/arrivalInterval)
	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", e.settings.CallerAddress.String())
		if err != nil {
			return nil // the entry takes no more connections
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	opened := make([]net.Conn, len(statuses))
	for i := 0; i < len(opened); i += 2 {
		opened[i] = dial()
	}
	e.signals <- syscall.SIGTERM
	var group errgroup.Group
	for i := range statuses {
		group.Go(func() error {
			<-time.After(time.Duration(i) * arrivalInterval)
			conn := opened[i]
			if conn == nil {
				conn = dial()
			}
			if conn != nil {
				statuses[i] = postOn(conn, fmt.Sprint("r", i))
			}
			return nil
		})
	}
	is := is.New(t)
	is.NoErr(group.Wait())
	is.NoErr(<-e.done)
	is.Equal(statuses[0], http.StatusOK)
	for i, status := range statuses {
		if hasRun(fmt.Sprint("r", i)) != (status == http.StatusOK) {
			t.Errorf("request %s after the signal: passed on: %t, status %d", time.Duration(i)*arrivalInterval, hasRun(fmt.Sprint("r", i)), status)
		}
	}
}

// Guards against queued requests that are cut at the end of a stop, although the entry knows that they have not run.
func TestStopRejectsWhatStillWaits(t *testing.T) {
	const grace = 3 * time.Second
	e, hasRun := newStoppingCluster(t, grace, time.Minute, time.Minute)
	var group errgroup.Group
	var mu sync.Mutex
	rejected := 0
	for i := range 40 {
		group.Go(func() error {
			id := fmt.Sprint("r", i)
			status, text := e.post(t, "/p/x", id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case hasRun(id):
			case status == http.StatusServiceUnavailable && strings.HasPrefix(text, "stopping"):
				rejected++
			default:
				t.Errorf("request %s wasn't passed on: status %d, %s", id, status, text)
			}
			return nil
		})
	}
	<-time.After(300 * time.Millisecond) // until the requests wait
	e.signals <- syscall.SIGTERM
	is := is.New(t)
	is.NoErr(group.Wait())
	is.True(rejected > 0)
}
