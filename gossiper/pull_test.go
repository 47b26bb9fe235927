package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
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

// testNode is a Gossiper with its service on loopback. It runs no gossip rounds and no push loop.
type testNode struct {
	*Gossiper
	replica *fakeReplica
	clock   *clockwork.FakeClock
}

func newTestNode(t *testing.T, id eelgrassbeam.EntryID, zone eelgrassbeam.ZoneID, revisions Revisions) *testNode {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	pool := peer.NewPool(peer.PoolConfig{Clock: clockwork.NewRealClock(), Log: log})
	n := &testNode{replica: &fakeReplica{revisions: revisions}, clock: clockwork.NewFakeClock()}
	n.Gossiper = New(Config{
		Self:  eelgrassbeam.Entry{ID: id, Zone: zone, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())},
		Clock: n.clock, Log: log, Replica: n.replica, Pool: pool,
		IsReady: func() bool { return true }, IsStoreReachable: func() bool { return true },
	})
	server := peer.NewServer(nil)
	n.Register(server)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return n.catchUp(ctx) })
	t.Cleanup(func() {
		cancel()
		pool.Close()
		server.Stop()
		_ = group.Wait()
	})
	return n
}

// joinAll makes the nodes members of each other's fleet.
func joinAll(nodes ...*testNode) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.merge(&digest{Members: []Member{other.self}})
		}
	}
}

func (n *testNode) address() netip.AddrPort { return n.config.Self.PeerAddress }

func (n *testNode) requireRevisions(t *testing.T, want Revisions) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for n.replica.Revisions() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s has revisions %+v: want %+v", n.config.Self.ID, n.replica.Revisions(), want)
		}
		<-time.After(time.Millisecond)
	}
}

func (n *testNode) advancePullDelay(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(n.clock.BlockUntilContext(t.Context(), 1))
	n.clock.Advance(pullDelay)
}

// Guards against late updates when the store answers the watchers of other zones but not those of this zone. In a
// run with 80 entries one learned of a leaving upstream 3.4 s late, since it checked again only in its next
// cross-zone exchange.
func TestCatchUp(t *testing.T) {
	older, newer := Revisions{Routing: 5, Upstreams: 5, Evacuated: 2}, Revisions{Routing: 5, Upstreams: 9, Evacuated: 2}
	t.Run("a configuration is pulled at once", func(t *testing.T) {
		next := Revisions{Routing: 6, Upstreams: 5, Evacuated: 2}
		ahead, behind := newTestNode(t, "a", "z1", next), newTestNode(t, "b", "z2", older)
		behind.reportLag(ahead.address(), next)
		behind.requireRevisions(t, next)
	})
	t.Run("other state is pulled after the delay without a second exchange", func(t *testing.T) {
		ahead, behind := newTestNode(t, "a", "z1", newer), newTestNode(t, "b", "z2", older)
		behind.reportLag(ahead.address(), newer)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("a peer without newer state does not cancel the pull", func(t *testing.T) {
		ahead, behind := newTestNode(t, "a", "z1", newer), newTestNode(t, "b", "z2", older)
		behind.reportLag(ahead.address(), newer)
		behind.reportLag(ahead.address(), older)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("no pull if the store delivered the state during the delay", func(t *testing.T) {
		is := is.New(t)
		ahead, behind := newTestNode(t, "a", "z1", newer), newTestNode(t, "b", "z2", older)
		behind.reportLag(ahead.address(), newer)
		is.NoErr(behind.clock.BlockUntilContext(t.Context(), 1))
		behind.replica.set(newer)
		behind.clock.Advance(pullDelay)
		behind.reportLag(ahead.address(), Revisions{Routing: 6})
		behind.requireRevisions(t, newer)
		is.True(ahead.replica.stateCallCount() <= 1) // the pull of the configuration
	})
	t.Run("the callee of an exchange detects the lag as well", func(t *testing.T) {
		is := is.New(t)
		ahead, behind := newTestNode(t, "a", "z1", newer), newTestNode(t, "b", "z2", older)
		joinAll(ahead, behind)
		_, err := behind.handleExchange(t.Context(), &digest{From: "a", Revisions: newer})
		is.NoErr(err)
		behind.advancePullDelay(t)
		behind.requireRevisions(t, newer)
	})
	t.Run("pulled state is pushed to the zone", func(t *testing.T) {
		ahead, behind, third := newTestNode(t, "a", "z1", newer), newTestNode(t, "b", "z2", older), newTestNode(t, "c", "z2", older)
		joinAll(ahead, behind, third)
		behind.reportLag(ahead.address(), newer)
		behind.advancePullDelay(t)
		third.requireRevisions(t, newer)
	})
}
