package directserver

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// serviceTime is that of all upstreams.
const serviceTime = 20 * time.Millisecond

// learningTime is the time that entries have to act on what an upstream says of itself; the platform grants 3 s or more.
const learningTime = 3 * time.Second

// arrivals records when requests reach an upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// maxWithin returns the largest number of arrivals within any span of the given length after the start.
func (a *arrivals) maxWithin(span time.Duration, start time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := slices.DeleteFunc(slices.Clone(a.times), func(at time.Time) bool { return at.Before(start) })
	most := 0
	for i := range times {
		end, _ := slices.BinarySearchFunc(times, times[i].Add(span), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// countAfter returns the number of arrivals after the start.
func (a *arrivals) countAfter(start time.Time) int { return a.maxWithin(time.Hour, start) }

// newSignallingCluster returns running entries with the upstream u1, which responds as given and records its arrivals, and
// u2, which serves everything.
func newSignallingCluster(t *testing.T, entries int, respond func(w http.ResponseWriter, next http.Handler, r *http.Request)) (*testCluster, *arrivals) {
	t.Helper()
	s := newTestCluster(t, serviceTime)
	reached, serving := &arrivals{}, backendServer("u1", serviceTime)
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.record()
		respond(w, serving, r)
	}))
	s.put(t, platform.KindUpstreams, "u1", fmt.Sprintf(
		`{"service":"s","address":%q,"zone":"z1","slots":3,"state":"ready","cold_remaining":"0ms","sequence":2,"born":2}`, address))
	s.configure(1)
	for i := range entries {
		e := s.start(t, fmt.Sprintf("e%d", i))
		eventually(t, "readiness", func() bool { return e.readyStatus(t) == http.StatusOK })
	}
	return s, reached
}

// metric returns the value of the entry's metric with the given name and labels; empty if there is none.
func (e *testEntry) metric(t *testing.T, name string) string {
	t.Helper()
	_, text := fetch(t, http.MethodGet, "http://"+e.settings.MetricsAddress.String()+"/metrics", "", "")
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// load sends requests with many keys to all entries, each at the given rate per second, and returns the numbers of answers
// by status.
func (s *testCluster) load(t *testing.T, perSecond int, duration time.Duration) map[int]int {
	t.Helper()
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group errgroup.Group
	for i, e := range s.entries {
		group.Go(func() error {
			var requests errgroup.Group
			started, pace := time.Now(), time.NewTicker(time.Second/time.Duration(perSecond))
			defer pace.Stop()
			for n := 0; time.Since(started) < duration; n++ {
				requests.Go(func() error {
					status, _ := e.post(t, "/v1/x", fmt.Sprintf("%d-%d-%d", started.UnixNano(), i, n))
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					return nil
				})
				<-pace.C
			}
			return requests.Wait()
		})
	}
	is.New(t).NoErr(group.Wait())
	return statuses
}

// Guards against an upstream that names a limit and gets more than that from all entries together.
func TestUpstreamLimitIsKeptByAllEntries(t *testing.T) {
	const limit = 2
	s, reached := newSignallingCluster(t, 6, func(w http.ResponseWriter, next http.Handler, r *http.Request) {
		w.Header().Set("Server-Limit", fmt.Sprint(limit))
		next.ServeHTTP(w, r)
	})
	learned := time.Now().Add(learningTime)
	statuses := s.load(t, 8, learningTime+6*time.Second)
	is := is.New(t)
	is.True(reached.maxWithin(4*time.Second, learned) <= 1.5*4*limit+5)
	is.True(reached.countAfter(learned) > 0) // the limit is used
	is.Equal(s.entries[0].metric(t, `eelgrassbeam_upstream_notices{kind="limit"}`), "1")
	is.Equal(s.entries[0].metric(t, "eelgrassbeam_configuration_version"), "1")
	is.Equal(statuses[http.StatusOK], total(statuses)) // the other upstream serves the rest
}

func total(statuses map[int]int) int {
	sum := 0
	for _, count := range statuses {
		sum += count
	}
	return sum
}

// Guards against requests to an upstream that has said in an answer that it leaves, while the store still lists it.
func TestUpstreamThatLeavesGetsNoRequests(t *testing.T) {
	const drain = 2500 * time.Millisecond
	s, reached := newSignallingCluster(t, 2, func(w http.ResponseWriter, next http.Handler, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		next.ServeHTTP(w, r)
	})
	left := time.Now().Add(drain)
	statuses := s.load(t, 10, drain+2*time.Second)
	is := is.New(t)
	is.True(reached.countAfter(time.Time{}) > 0)
	is.Equal(reached.countAfter(left), 0)
	is.Equal(statuses[http.StatusOK], total(statuses))
}

// Guards against requests to an upstream that has asked for a pause, fractions of a second included.
func TestUpstreamGetsNoRequestsUntilItsRetryAfter(t *testing.T) {
	const pause = 2500 * time.Millisecond
	s, reached := newSignallingCluster(t, 1, func(w http.ResponseWriter, _ http.Handler, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set(platform.HeaderNotExecuted, "full")
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	statuses := s.load(t, 20, 2*pause)
	is := is.New(t)
	first := reached.times[0].Add(500 * time.Millisecond)
	is.True(reached.countAfter(first) > 0)                             // it is tried again after the pause
	is.True(reached.maxWithin(pause-500*time.Millisecond, first) <= 2) // requests on their way may arrive
	is.Equal(statuses[http.StatusOK], total(statuses))                 // the other upstream serves them all
}
