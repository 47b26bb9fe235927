package monitor

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/storefake"
)

const (
	patience = 20 * time.Second
	// pace is the interval of heartbeats in most tests.
	pace = 100 * time.Millisecond
	// slowPace leaves time to spare where a test looks at a gap.
	slowPace = 400 * time.Millisecond
)

// node is one entry's monitor with its listener.
type node struct {
	*Monitor
	listener net.Listener
	server   *grpc.Server
	pool     *peer.Pool
	stop     func()
}

func row(entry eelgrassbeam.Entry) eelgrassbeam.Instance {
	return eelgrassbeam.Instance{
		ID: string(entry.ID), Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
		Zone: entry.Zone, Region: entry.Region, Address: entry.Address, PeerAddress: entry.PeerAddress,
	}
}

func listen(t *testing.T, n int) (net.Listener, eelgrassbeam.Entry) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	entry := testEntry(0, 0, n)
	entry.PeerAddress = netip.MustParseAddrPort(listener.Addr().String())
	return listener, entry
}

func start(t *testing.T, listener net.Listener, entry eelgrassbeam.Entry, store eelgrassbeam.Store, incarnation uint64, seeds ...netip.AddrPort) *node {
	t.Helper()
	return startNode(t, listener, entry, store, incarnation, seeds, pace, false)
}

func startNode(
	t *testing.T, listener net.Listener, entry eelgrassbeam.Entry, store eelgrassbeam.Store,
	incarnation uint64, seeds []netip.AddrPort, interval time.Duration, keepsSilent bool,
) *node {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := peer.NewPool(peer.PoolConfig{})
	n := &node{listener: listener, pool: pool, server: peer.NewServer(nil), Monitor: New(Config{
		Self: entry, Store: store, Pool: pool, Clock: clockwork.NewRealClock(), Log: log, Seeds: seeds, Incarnation: incarnation,
		Interval: interval, Term: 6 * interval, Margin: 2 * interval,
	})}
	n.keepsSilent = keepsSilent
	n.Register(n.server)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = n.server.Serve(listener) })
	group.Go(func() { _ = n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		n.server.Stop()
		pool.Close()
		group.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

func startFleet(t *testing.T, count int) ([]*node, *storefake.Store) {
	t.Helper()
	return startFleetWith(t, count, func(listener net.Listener) net.Listener { return listener }, pace, false)
}

func startFleetWith(
	t *testing.T, count int, wrap func(net.Listener) net.Listener, interval time.Duration, keepsSilent bool,
) ([]*node, *storefake.Store) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	store := storefake.New()
	var listeners []net.Listener
	var entries []eelgrassbeam.Entry
	for i := range count {
		listener, entry := listen(t, i)
		listeners, entries = append(listeners, wrap(listener)), append(entries, entry)
		store.Set(func(s *storefake.Store) { s.Rows = append(s.Rows, row(entry)) })
	}
	var nodes []*node
	for i := range listeners {
		nodes = append(nodes, startNode(t, listeners[i], entries[i], store, 1000, nil, interval, keepsSilent))
	}
	return nodes, store
}

func eventually(t *testing.T, what string, isSo func() bool) {
	t.Helper()
	timeout := time.After(patience)
	for !isSo() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-timeout:
			t.Fatal("not within ", patience, ": ", what)
		}
	}
}

func checkHeld(t *testing.T, nodes []*node) {
	t.Helper()
	eventually(t, "all hold their term", func() bool {
		for _, n := range nodes {
			if !n.HoldsTerm(time.Now()) {
				return false
			}
		}
		return true
	})
}

// checkState waits until all nodes see the entry in the state; they pull from each other in a ring.
func checkState(t *testing.T, nodes []*node, id eelgrassbeam.EntryID, want eelgrassbeam.InstanceState) {
	t.Helper()
	eventually(t, string(id)+" is "+string(want), func() bool {
		for i, n := range nodes {
			_ = n.Pull(t.Context(), nodes[(i+1)%len(nodes)].config.Self.PeerAddress)
			if entry, ok := n.Fleet().Entry(id); !ok || entry.State != want {
				return false
			}
		}
		return true
	})
}

func TestFailureAndReturn(t *testing.T) {
	nodes, store := startFleet(t, 5)
	checkHeld(t, nodes)
	dead := nodes[0]
	dead.stop()
	is.New(t).True(!dead.HoldsTerm(time.Now()))
	checkState(t, nodes[1:], dead.config.Self.ID, eelgrassbeam.InstanceFailed)
	checkHeld(t, nodes[1:])
	listener, err := net.Listen("tcp", dead.config.Self.PeerAddress.String())
	is.New(t).NoErr(err)
	nodes[0] = start(t, listener, dead.config.Self, store, 2000)
	checkState(t, nodes, dead.config.Self.ID, eelgrassbeam.InstanceLive)
	checkHeld(t, nodes)
}

func TestLeaving(t *testing.T) {
	nodes, _ := startFleet(t, 4)
	checkHeld(t, nodes)
	nodes[0].Leave()
	checkState(t, nodes, nodes[0].config.Self.ID, eelgrassbeam.InstanceLeaving)
	is.New(t).True(nodes[0].HoldsTerm(time.Now())) // it still serves
	nodes[0].stop()
	checkState(t, nodes[1:], nodes[0].config.Self.ID, eelgrassbeam.InstanceLeaving)
}

func TestStartFromSeeds(t *testing.T) {
	nodes, store := startFleet(t, 4)
	checkHeld(t, nodes)
	store.Set(func(s *storefake.Store) { s.Down = true })
	seed := nodes[1].config.Self.PeerAddress
	nodes[0].stop()
	listener, err := net.Listen("tcp", nodes[0].config.Self.PeerAddress.String())
	is.New(t).NoErr(err)
	nodes[0] = start(t, listener, nodes[0].config.Self, store, 2000, seed)
	eventually(t, "the list is known", func() bool { return len(nodes[0].Fleet().Entries) == len(nodes) })
	checkHeld(t, nodes)
}

func TestNeverHeard(t *testing.T) {
	nodes, store := startFleet(t, 3)
	listener, ghost := listen(t, 9)
	is.New(t).NoErr(listener.Close())
	store.Set(func(s *storefake.Store) {
		s.Rows = append(s.Rows[:len(s.Rows):len(s.Rows)], row(ghost))
		s.Touch()
	})
	checkState(t, nodes, ghost.ID, eelgrassbeam.InstanceFailed)
}

func TestAlone(t *testing.T) {
	nodes, store := startFleet(t, 2)
	checkHeld(t, nodes)
	nodes[1].stop()
	eventually(t, "without its watcher the term runs out", func() bool { return !nodes[0].HoldsTerm(time.Now()) })
	store.Set(func(s *storefake.Store) {
		s.Rows = s.Rows[:1]
		s.Touch()
	})
	checkHeld(t, nodes[:1])
}
