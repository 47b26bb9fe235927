package deduplicator

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

// lossyRemote loses the first replies of a home after the request has run.
type lossyRemote struct {
	home       *Router
	lossesLeft atomic.Int64
}

func (l *lossyRemote) Do(ctx context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
	reply, err := l.home.Do(ctx, request)
	if l.lossesLeft.Add(-1) >= 0 {
		return eelgrassbeam.Reply{}, errors.New("connection lost")
	}
	return reply, err
}

func (l *lossyRemote) Recall(_ context.Context, _ eelgrassbeam.Entry, request eelgrassbeam.Request) (RecallResponse, error) {
	return l.home.Recall(request), nil
}

// newRouterToHome starts a home and returns the router of another entry that calls it through the remote.
func newRouterToHome(t *testing.T, runs *atomic.Int64, remote func(home *Router) (Remote, eelgrassbeam.Entry)) *Router {
	t.Helper()
	k := start(t, storefake.New(), "home", nil)
	config := RouterConfig{
		Self: k.config.Self, Fleet: k.config.Fleet, Deduplicator: k, Clock: clockwork.NewRealClock(), Log: k.config.Log,
		Run: func(_ context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
			runs.Add(1)
			return eelgrassbeam.Reply{RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered, Status: 200}, nil
		},
	}
	var reached eelgrassbeam.Entry
	config.Remote, reached = remote(NewRouter(config))
	config.Self = entry("other", reached.Region)
	config.Fleet = fleet{&eelgrassbeam.Fleet{Entries: []eelgrassbeam.Entry{reached}}}
	return NewRouter(config)
}

func assertRunsOnce(t *testing.T, remote func(home *Router) (Remote, eelgrassbeam.Entry)) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	var runs atomic.Int64
	router := newRouterToHome(t, &runs, remote)
	request := keyed("r1", "k1", "x").WithTimeLeft(eelgrassbeam.Seconds(10))
	request.Rank, request.Origin, request.OriginRegion = eelgrassbeam.RankUrgent, "other", "region-home"
	reply := router.Route(t.Context(), request)
	assertReply(t, reply, eelgrassbeam.OutcomeAnswered, "")
	is.Equal(runs.Load(), int64(1))
}

func TestRoute(t *testing.T) {
	t.Run("a request is sent again after a lost reply", func(t *testing.T) {
		assertRunsOnce(t, func(home *Router) (Remote, eelgrassbeam.Entry) {
			l := &lossyRemote{home: home}
			l.lossesLeft.Store(2)
			return l, home.config.Self
		})
	})
	t.Run("over gRPC", func(t *testing.T) {
		assertRunsOnce(t, func(home *Router) (Remote, eelgrassbeam.Entry) {
			return serveHome(t, home)
		})
	})
	t.Run("the outcome is unknown if the home never replies", func(t *testing.T) {
		var runs atomic.Int64
		router := newRouterToHome(t, &runs, func(home *Router) (Remote, eelgrassbeam.Entry) {
			l := &lossyRemote{home: home}
			l.lossesLeft.Store(1000)
			return l, home.config.Self
		})
		reply := router.Route(t.Context(), keyed("r1", "k1", "x").WithTimeLeft(eelgrassbeam.Milliseconds(200)))
		assertReply(t, reply, eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonPeerFailed)
		is.New(t).Equal(runs.Load(), int64(1))
	})
}

// serveHome serves the home over gRPC and returns a remote and the entry with the home's address.
func serveHome(t *testing.T, home *Router) (Remote, eelgrassbeam.Entry) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server, pool := peer.NewServer(peer.ServerConfig{}), peer.NewPool(peer.PoolConfig{})
	Register(server, home)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() { pool.Close(); server.Stop(); <-done })
	reached := home.config.Self
	reached.PeerAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	return NewPeerClient(pool), reached
}

// TestRecall repeats a key at the new home of the key while the previous home is still running.
func TestRecall(t *testing.T) {
	is := is.New(t)
	store := storefake.New()
	entered, leave := make(chan struct{}), make(chan struct{})
	config := func(id eelgrassbeam.EntryID) RouterConfig {
		k := start(t, store, id, nil)
		return RouterConfig{
			Self: k.config.Self, Fleet: k.config.Fleet, Deduplicator: k, Clock: clockwork.NewRealClock(), Log: k.config.Log,
			Run: func(_ context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
				close(entered) // panics if the request runs twice
				<-leave
				return eelgrassbeam.Reply{RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered, Status: 201}, nil
			},
		}
	}
	earlier := NewRouter(config("earlier"))
	remote, reached := serveHome(t, earlier)
	later := config("later")
	later.Remote = remote
	later.Fleet = fleet{&eelgrassbeam.Fleet{Entries: []eelgrassbeam.Entry{reached, later.Self}}}
	request := keyed("r1", "k1", "x").WithTimeLeft(eelgrassbeam.Seconds(10))
	request.Rank, request.Origin, request.OriginRegion = eelgrassbeam.RankUrgent, "later", later.Self.Region
	var group sync.WaitGroup
	group.Go(func() { _ = earlier.Route(context.Background(), request) })
	<-entered
	request.ID = "r2"
	assertReply(t, NewRouter(later).Route(t.Context(), request), eelgrassbeam.OutcomeUnknown, eelgrassbeam.ReasonInProgress)
	close(leave)
	group.Wait()
	request.ID = "r3"
	reply := NewRouter(later).Route(t.Context(), request)
	assertReply(t, reply, eelgrassbeam.OutcomeAnswered, "")
	is.Equal(reply.RequestID, eelgrassbeam.RequestID("r3"))
	request.Body = []byte("other")
	assertReply(t, NewRouter(later).Route(t.Context(), request), eelgrassbeam.OutcomeNotRun, eelgrassbeam.ReasonKeyReused)
}

func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	k := start(t, storefake.New(), "home", nil)
	runs := 0
	router := NewRouter(RouterConfig{
		Self: k.config.Self, Fleet: k.config.Fleet, Deduplicator: k, Clock: clockwork.NewRealClock(), Log: k.config.Log,
		Run: func(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
			runs++
			leave()
			if ctx.Err() != nil {
				return eelgrassbeam.Unknown(request.ID, eelgrassbeam.ReasonCancelled), nil
			}
			return eelgrassbeam.Reply{RequestID: request.ID, Outcome: eelgrassbeam.OutcomeAnswered, Status: 200}, nil
		},
	})
	request := keyed("r1", "k1", "x").WithTimeLeft(eelgrassbeam.Seconds(10))
	_ = router.Route(ctx, request)
	request.ID = "r2"
	assertReply(t, router.Route(t.Context(), request), eelgrassbeam.OutcomeAnswered, "")
	is.Equal(runs, 1)
	is.Equal(router.InProgress(), 0)
}
