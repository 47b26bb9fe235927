package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const testTimeout = 10 * time.Second

// fakeReplica is a Replica whose state consists only of its revisions.
type fakeReplica struct {
	mu         sync.Mutex
	revisions  Revisions
	stateCalls int
}

func (r *fakeReplica) Revisions() Revisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revisions
}

func (r *fakeReplica) State(Revisions) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateCalls++
	return State{Revisions: r.revisions}
}

func (r *fakeReplica) ConfirmRouting(uint64, time.Duration) {}

func (r *fakeReplica) Merge(state State) { r.set(state.Revisions) }

func (r *fakeReplica) set(revisions Revisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions = revisions
}

func (r *fakeReplica) stateCallCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateCalls
}

// testEntry is a Gossiper with its service on loopback. It runs no gossip rounds and no push loop.
type testEntry struct {
	*Gossiper
	replica *fakeReplica
	clock   *clockwork.FakeClock
}

func newTestEntry(t testing.TB, id eelgrassbeam.EntryID, zone eelgrassbeam.ZoneID, revisions Revisions) *testEntry {
	t.Helper()
	return newTestEntryOn(t, id, zone, revisions, func(listener net.Listener) net.Listener { return listener })
}

// newTestEntryOn is newTestEntry with a wrapper of the listener.
func newTestEntryOn(
	t testing.TB, id eelgrassbeam.EntryID, zone eelgrassbeam.ZoneID, revisions Revisions, wrap func(net.Listener) net.Listener,
) *testEntry {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	pool := peer.NewPool(peer.PoolConfig{Clock: clockwork.NewRealClock(), Log: log})
	e := &testEntry{replica: &fakeReplica{revisions: revisions}, clock: clockwork.NewFakeClock()}
	e.Gossiper = New(Config{
		Self:  eelgrassbeam.Entry{ID: id, Zone: zone, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())},
		Clock: e.clock, Log: log, Replica: e.replica, Pool: pool,
		IsReady: func() bool { return true }, IsStoreReachable: func() bool { return true },
	})
	server := peer.NewServer(peer.ServerConfig{})
	e.Register(server)
	peer.RegisterPing(server)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(wrap(listener)) })
	group.Go(func() error { return e.catchUp(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		server.Stop()
		_ = group.Wait()
	})
	return e
}

// joinAll makes the entries members of each other's fleet.
func joinAll(entries ...*testEntry) {
	for _, e := range entries {
		for _, other := range entries {
			e.merge(&digest{Members: []Member{other.self}})
		}
	}
}

func (e *testEntry) address() netip.AddrPort { return e.config.Self.PeerAddress }

func (e *testEntry) requireRevisions(t *testing.T, want Revisions) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for e.replica.Revisions() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s: revisions %+v, want %+v", e.config.Self.ID, e.replica.Revisions(), want)
		}
		<-time.After(time.Millisecond)
	}
}

func (e *testEntry) advancePullDelay(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(e.clock.BlockUntilContext(t.Context(), 1))
	e.clock.Advance(pullDelay)
}

// Guards against late updates when the store answers the watchers of other zones but not those of this zone. In a
// fleet of 80 entries, an entry learned of a leaving upstream 3.4 s late, because it pulled only in its next cross-zone
// exchange.
func TestCatchUp(t *testing.T) {
	older, newer := Revisions{RoutingVersion: 5, Upstreams: 5, Evacuated: 2}, Revisions{RoutingVersion: 5, Upstreams: 9, Evacuated: 2}
	t.Run("the routing is pulled at once", func(t *testing.T) {
		next := Revisions{RoutingVersion: 6, Upstreams: 5, Evacuated: 2}
		ahead, behind := newTestEntry(t, "a", "z1", next), newTestEntry(t, "b", "z2", older)
		behind.requestPull(ahead.address(), next)
		behind.requireRevisions(t, next)
	})
	t.Run("other state is pulled after the delay without a second exchange", func(t *testing.T) {
		ahead, behind := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", older)
		behind.requestPull(ahead.address(), newer)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("a peer without newer state does not cancel the pull", func(t *testing.T) {
		ahead, behind := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", older)
		behind.requestPull(ahead.address(), newer)
		behind.requestPull(ahead.address(), older)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("no pull if the store delivered the state during the delay", func(t *testing.T) {
		is := is.New(t)
		ahead, behind := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", older)
		behind.requestPull(ahead.address(), newer)
		is.NoErr(behind.clock.BlockUntilContext(t.Context(), 1))
		behind.replica.set(newer)
		behind.clock.Advance(pullDelay)
		behind.requestPull(ahead.address(), Revisions{RoutingVersion: 6})
		behind.requireRevisions(t, newer)
		is.True(ahead.replica.stateCallCount() <= 1) // the pull of the routing
	})
	t.Run("the callee of an exchange requests a pull as well", func(t *testing.T) {
		is := is.New(t)
		ahead, behind := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", older)
		joinAll(ahead, behind)
		_, err := behind.handleExchange(t.Context(), &digest{From: "a", Revisions: newer})
		is.NoErr(err)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("an entry without state pulls all parts at once", func(t *testing.T) {
		ahead, empty := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", Revisions{RoutingVersion: newer.RoutingVersion})
		empty.requestPull(ahead.address(), newer)
		empty.requireRevisions(t, newer)
	})
	t.Run("an entry without state asks a ready member of its zone instead of the seed", func(t *testing.T) {
		is := is.New(t)
		seed, neighbour, empty := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", newer), newTestEntry(t, "c", "z2", Revisions{})
		neighbour.self.IsReady = true
		joinAll(seed, neighbour, empty)
		empty.requestPull(seed.address(), newer)
		empty.requireRevisions(t, newer)
		is.Equal(seed.replica.stateCallCount(), 0)
		is.Equal(neighbour.replica.stateCallCount(), 1)
	})
	t.Run("pulled state is pushed to the zone", func(t *testing.T) {
		ahead, behind, third := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z2", older), newTestEntry(t, "c", "z2", older)
		joinAll(ahead, behind, third)
		behind.requestPull(ahead.address(), newer)
		behind.advancePullDelay(t)
		third.requireRevisions(t, newer)
	})
}

// freezableConn is a connection that reads nothing once its entry is frozen.
type freezableConn struct {
	net.Conn
	frozen *atomic.Bool
	done   <-chan struct{}
}

func (c freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.frozen.Load() {
		<-c.done
	}
	return n, err
}

// freezableListener accepts freezableConns.
type freezableListener struct {
	net.Listener
	frozen *atomic.Bool
	done   <-chan struct{}
}

func (l freezableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return freezableConn{Conn: conn, frozen: l.frozen, done: l.done}, err
}

// newFreezableEntry returns an entry that stops responding, on open connections too, once the returned flag is set.
func newFreezableEntry(t *testing.T, id eelgrassbeam.EntryID, revisions Revisions) (*testEntry, *atomic.Bool) {
	t.Helper()
	frozen := &atomic.Bool{}
	return newTestEntryOn(t, id, "z1", revisions, func(listener net.Listener) net.Listener {
		return freezableListener{Listener: listener, frozen: frozen, done: t.Context().Done()}
	}), frozen
}

// Guards against peers that stop responding delaying the pull of a configuration for as long as a large transfer may take.
func TestPullFromFrozenPeers(t *testing.T) {
	const bound = 3 * time.Second // by when a configuration must be in force
	older, newer := Revisions{RoutingVersion: 5, Upstreams: 5, Evacuated: 2}, Revisions{RoutingVersion: 6, Upstreams: 5, Evacuated: 2}
	ahead, behind := newTestEntry(t, "a", "z1", newer), newTestEntry(t, "b", "z1", older)
	var frozen []*testEntry
	for _, id := range []eelgrassbeam.EntryID{"c", "d"} {
		e, freeze := newFreezableEntry(t, id, newer)
		behind.exchange(t.Context(), e.address()) // opens the connection
		for len(behind.pullTargets) > 0 {
			<-behind.pullTargets
		}
		behind.replica.set(older)
		freeze.Store(true)
		frozen = append(frozen, e)
	}
	behind.replica.set(older)
	started := time.Now()
	for _, e := range frozen {
		behind.requestPull(e.address(), newer)
		<-time.After(10 * time.Millisecond) // the pull starts
		behind.clock.Advance(hedgeDelay)
	}
	behind.requestPull(ahead.address(), newer)
	behind.requireRevisions(t, newer)
	is.New(t).True(time.Since(started) < bound)
}
