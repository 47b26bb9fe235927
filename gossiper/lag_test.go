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

// fakeReplica is a state that consists of its revisions.
type fakeReplica struct {
	mu        sync.Mutex
	revisions Revisions
	reads     int
}

func (r *fakeReplica) Revisions() Revisions {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revisions
}

func (r *fakeReplica) State(Revisions) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	return State{Revisions: r.revisions}
}

func (r *fakeReplica) Merge(state State) { r.set(state.Revisions) }

func (r *fakeReplica) set(revisions Revisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revisions = revisions
}

func (r *fakeReplica) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// node is a gossiper whose service is reached over loopback. Rounds and pushes of its own are not run.
type node struct {
	*Gossiper
	replica *fakeReplica
	clock   *clockwork.FakeClock
}

func newNode(t *testing.T, id eelgrassbeam.EntryID, zone eelgrassbeam.ZoneID, holds Revisions) *node {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	pool := peer.NewPool(peer.PoolConfig{Clock: clockwork.NewRealClock(), Log: log})
	n := &node{replica: &fakeReplica{revisions: holds}, clock: clockwork.NewFakeClock()}
	n.Gossiper = New(Config{
		Self:  eelgrassbeam.Entry{ID: id, Zone: zone, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())},
		Clock: n.clock, Log: log, Replica: n.replica, Pool: pool,
		IsReady: func() bool { return true }, HasStore: func() bool { return true },
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

// introduceAll makes the nodes known to each other.
func introduceAll(nodes ...*node) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.merge(&digest{Members: []Member{other.self}})
		}
	}
}

func (n *node) address() netip.AddrPort { return n.config.Self.PeerAddress }

func (n *node) requireHolds(t *testing.T, want Revisions) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for n.replica.Revisions() != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s holds %+v: want %+v", n.config.Self.ID, n.replica.Revisions(), want)
		}
		<-time.After(time.Millisecond)
	}
}

func (n *node) passLag(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(n.clock.BlockUntilContext(t.Context(), 1))
	n.clock.Advance(lagBeforePull)
}

// The zone's watchers may not hear from the store while others do: an entry learnt of a leaving upstream 3.4 s late on a day of 80
// entries, since it looked again only with its next call of another zone.
func TestCatchUp(t *testing.T) {
	old, later := Revisions{Routing: 5, Upstreams: 5, Evacuated: 2}, Revisions{Routing: 5, Upstreams: 9, Evacuated: 2}
	t.Run("the configuration at once", func(t *testing.T) {
		next := Revisions{Routing: 6, Upstreams: 5, Evacuated: 2}
		far, near := newNode(t, "a", "z1", next), newNode(t, "b", "z2", old)
		near.noteLag(far.address(), next)
		near.requireHolds(t, next)
	})
	t.Run("the rest after a wait, without a second meeting", func(t *testing.T) {
		far, near := newNode(t, "a", "z1", later), newNode(t, "b", "z2", old)
		near.noteLag(far.address(), later)
		near.passLag(t)
		near.requireHolds(t, later)
	})
	t.Run("an equally late peer in between doesn't end the wait", func(t *testing.T) {
		far, near := newNode(t, "a", "z1", later), newNode(t, "b", "z2", old)
		near.noteLag(far.address(), later)
		near.noteLag(far.address(), old)
		near.passLag(t)
		near.requireHolds(t, later)
	})
	t.Run("nothing that the store brought meanwhile", func(t *testing.T) {
		is := is.New(t)
		far, near := newNode(t, "a", "z1", later), newNode(t, "b", "z2", old)
		near.noteLag(far.address(), later)
		is.NoErr(near.clock.BlockUntilContext(t.Context(), 1))
		near.replica.set(later)
		near.clock.Advance(lagBeforePull)
		near.noteLag(far.address(), Revisions{Routing: 6})
		near.requireHolds(t, later)
		is.True(far.replica.readCount() <= 1) // the configuration's
	})
	t.Run("an entry that is called notices, too", func(t *testing.T) {
		is := is.New(t)
		far, near := newNode(t, "a", "z1", later), newNode(t, "b", "z2", old)
		introduceAll(far, near)
		_, err := near.exchanged(t.Context(), &digest{From: "a", Revisions: later})
		is.NoErr(err)
		near.passLag(t)
		near.requireHolds(t, later)
	})
	t.Run("the others of the zone get what was fetched", func(t *testing.T) {
		far, near, third := newNode(t, "a", "z1", later), newNode(t, "b", "z2", old), newNode(t, "c", "z2", old)
		introduceAll(far, near, third)
		near.noteLag(far.address(), later)
		near.passLag(t)
		third.requireHolds(t, later)
	})
}
