package deduplicator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fleet struct{ view *eelgrassbeam.Fleet }

func (f fleet) Fleet() *eelgrassbeam.Fleet { return f.view }

func entry(id eelgrassbeam.EntryID, region eelgrassbeam.RegionID) eelgrassbeam.Entry {
	return eelgrassbeam.Entry{ID: id, Region: region, State: eelgrassbeam.InstanceLive}
}

// start runs a Deduplicator whose entry is the only one in its region.
func start(t *testing.T, store eelgrassbeam.Store, id eelgrassbeam.EntryID, change func(*Deduplicator)) *Deduplicator {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := entry(id, eelgrassbeam.RegionID("region-"+id))
	k := New(Config{
		Self: self, Incarnation: 1, Store: store, Clock: clockwork.NewRealClock(), Log: log, WritesPerSecond: 1000,
		Fleet: fleet{&eelgrassbeam.Fleet{Entries: []eelgrassbeam.Entry{self}}},
	})
	if change != nil {
		change(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return k
}

// runCounter counts the executions of each key.
type runCounter struct {
	mu sync.Mutex
	// timeout is the timeout of each request; 0 means 10 s.
	timeout time.Duration
	runs    map[eelgrassbeam.IdempotencyKey]int
}

func (c *runCounter) count(key eelgrassbeam.IdempotencyKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// do passes the request to the Deduplicator; a run returns the given outcome.
func (c *runCounter) do(t *testing.T, k *Deduplicator, request eelgrassbeam.Request, outcome eelgrassbeam.Outcome) eelgrassbeam.Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.timeout, 10*time.Second))
	defer cancel()
	reply, _ := k.Do(ctx, request, func(context.Context) (eelgrassbeam.Reply, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.runs == nil {
			c.runs = make(map[eelgrassbeam.IdempotencyKey]int)
		}
		c.runs[request.IdempotencyKey]++
		return eelgrassbeam.Reply{
			RequestID: request.ID, Outcome: outcome, Status: 201, Body: []byte("held"),
			Header: http.Header{headerRequestID: {string(request.ID)}},
		}, nil
	})
	return reply
}

func keyed(id, key, body string) eelgrassbeam.Request {
	return eelgrassbeam.Request{
		ID: eelgrassbeam.RequestID(id), Service: "events", IdempotencyKey: eelgrassbeam.IdempotencyKey(key),
		Method: http.MethodPost, Host: "events.example", Target: "/deposits", Body: []byte(body),
	}
}

func assertReply(t *testing.T, reply eelgrassbeam.Reply, outcome eelgrassbeam.Outcome, reason eelgrassbeam.Reason) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(reply.Outcome, outcome)
	is.Equal(reply.Reason, reason)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range 5000 {
		if condition() {
			return
		}
		<-ticker.C
	}
	t.Errorf("%s: condition not met within the timeout", what)
}

func TestRepeat(t *testing.T) {
	var counter runCounter
	k := start(t, storefake.New(), "a", nil)
	t.Run("gets the recorded reply with its own request ID", func(t *testing.T) {
		is := is.New(t)
		assertReply(t, counter.do(t, k, keyed("r1", "k1", "x"), eelgrassbeam.OutcomeAnswered), eelgrassbeam.OutcomeAnswered, "")
		reply := counter.do(t, k, keyed("r2", "k1", "x"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeAnswered, "")
		is.Equal(reply.RequestID, eelgrassbeam.RequestID("r2"))
		is.Equal(reply.Header.Get(headerRequestID), "r2")
		is.Equal(reply.Header.Get(HeaderReplayed), "true")
		is.Equal(counter.count("k1"), 1)
	})
	t.Run("for a different request is refused", func(t *testing.T) {
		reply := counter.do(t, k, keyed("r3", "k1", "other"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeNotRun, eelgrassbeam.ReasonKeyReused)
	})
	t.Run("by another team is a separate key", func(t *testing.T) {
		request := keyed("r4", "k1", "x")
		request.Team = "other"
		assertReply(t, counter.do(t, k, request, eelgrassbeam.OutcomeAnswered), eelgrassbeam.OutcomeAnswered, "")
	})
	t.Run("never runs after an unknown outcome", func(t *testing.T) {
		_ = counter.do(t, k, keyed("r5", "k2", "x"), eelgrassbeam.OutcomeUnknown)
		reply := counter.do(t, k, keyed("r6", "k2", "x"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonKeyUnknown)
		is.New(t).Equal(counter.count("k2"), 1)
	})
	t.Run("runs after one that was not run", func(t *testing.T) {
		_ = counter.do(t, k, keyed("r7", "k3", "x"), eelgrassbeam.OutcomeNotRun)
		assertReply(t, counter.do(t, k, keyed("r8", "k3", "x"), eelgrassbeam.OutcomeAnswered), eelgrassbeam.OutcomeAnswered, "")
	})
	t.Run("is refused while the first request runs", func(t *testing.T) {
		entered, leave := make(chan struct{}), make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() {
			_, _ = k.Do(context.Background(), keyed("r9", "k4", "x"), func(context.Context) (eelgrassbeam.Reply, error) {
				close(entered)
				<-leave
				return eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered}, nil
			})
		})
		<-entered
		reply := counter.do(t, k, keyed("r10", "k4", "x"), eelgrassbeam.OutcomeAnswered)
		close(leave)
		group.Wait()
		assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonInProgress)
	})
}

func TestConcurrentHomes(t *testing.T) {
	race := func(t *testing.T, skipClaimCheck bool) (maxRuns int) {
		var counter runCounter
		store := storefake.New()
		setCheck := func(k *Deduplicator) { k.skipClaimCheck = skipClaimCheck }
		a, b := start(t, store, "a", setCheck), start(t, store, "b", setCheck)
		for i := range 50 {
			key := fmt.Sprintf("k%d", i)
			var group sync.WaitGroup
			for _, k := range []*Deduplicator{a, b} {
				group.Go(func() { _ = counter.do(t, k, keyed("r", key, "x"), eelgrassbeam.OutcomeAnswered) })
			}
			group.Wait()
			maxRuns = max(maxRuns, counter.count(eelgrassbeam.IdempotencyKey(key)))
		}
		return maxRuns
	}
	t.Run("one home runs the request", func(t *testing.T) { is.New(t).Equal(race(t, false), 1) })
	t.Run("both homes run it without the claim check", func(t *testing.T) { is.New(t).Equal(race(t, true), 2) })
}

func TestNewHome(t *testing.T) {
	var counter runCounter
	store := storefake.New()
	_ = counter.do(t, start(t, store, "a", nil), keyed("r1", "k1", "x"), eelgrassbeam.OutcomeAnswered)
	b := start(t, store, "b", nil)
	t.Run("claimed key never runs again", func(t *testing.T) {
		for range 2 {
			reply := counter.do(t, b, keyed("r2", "k1", "x"), eelgrassbeam.OutcomeAnswered)
			assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonKeyUnknown)
		}
		is.New(t).Equal(counter.count("k1"), 1)
	})
	t.Run("another request under the key is refused", func(t *testing.T) {
		reply := counter.do(t, start(t, store, "c", nil), keyed("r3", "k1", "other"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeNotRun, eelgrassbeam.ReasonKeyReused)
	})
	t.Run("an earlier run of the same entry counts as another home", func(t *testing.T) {
		a := start(t, store, "a", func(k *Deduplicator) {
			for _, c := range k.committers {
				c.view.incarnation = 2
			}
			k.config.Incarnation = 2
		})
		reply := counter.do(t, a, keyed("r4", "k1", "x"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonKeyUnknown)
	})
	t.Run("new key runs", func(t *testing.T) {
		assertReply(t, counter.do(t, b, keyed("r5", "k2", "x"), eelgrassbeam.OutcomeAnswered), eelgrassbeam.OutcomeAnswered, "")
	})
	t.Run("claims that cannot be decoded block new keys", func(t *testing.T) {
		_, err := store.Create(t.Context(), b.committers[bucketOf("k9")].view.kind, "bad", []byte(`{"home":"z","checksum":1}`))
		is.New(t).NoErr(err)
		reply := counter.do(t, b, keyed("r6", "k9", "x"), eelgrassbeam.OutcomeAnswered)
		assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonKeyUnknown)
	})
}

func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	var counter runCounter
	store := storefake.New()
	k := start(t, store, "a", func(k *Deduplicator) { k.config.WritesPerSecond = 1; k.updateWriteLimits() })
	var group sync.WaitGroup
	for i := range 400 {
		group.Go(func() { _ = counter.do(t, k, keyed("r", fmt.Sprintf("k%d", i), "x"), eelgrassbeam.OutcomeAnswered) })
	}
	group.Wait()
	writes := 0
	store.WithLock(func(s *storefake.Store) { writes = s.Calls["create"] })
	is.Equal(len(counter.runs), 400)
	is.True(writes <= 2*Buckets) // one object per bucket, and one more for claims that miss the first batch
}
