package monitor

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// freezingListener accepts connections that can be made unresponsive (half-open) while new ones keep working.
type freezingListener struct {
	net.Listener
	accepted atomic.Int32
	mu       sync.Mutex
	frozen   chan struct{}
	conns    []net.Conn
}

func newFreezingListener(listener net.Listener) *freezingListener {
	return &freezingListener{Listener: listener, frozen: make(chan struct{})}
}

// freeze makes all connections accepted so far unresponsive.
func (f *freezingListener) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen)
	f.frozen = make(chan struct{})
}

func (f *freezingListener) Accept() (net.Conn, error) {
	conn, err := f.Listener.Accept()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	frozen := &frozenConn{Conn: conn, frozen: f.frozen, closed: make(chan struct{})}
	f.conns = append(f.conns, frozen)
	f.accepted.Add(1)
	return frozen, nil
}

// Close also closes the accepted connections, since a stopping server closes only those that completed their handshake.
func (f *freezingListener) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	return f.Listener.Close()
}

type frozenConn struct {
	net.Conn
	frozen chan struct{}
	once   sync.Once
	closed chan struct{}
}

func (c *frozenConn) isFrozen() bool {
	select {
	case <-c.frozen:
		return true
	default:
		return false
	}
}

func (c *frozenConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isFrozen() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *frozenConn) Write(p []byte) (int, error) {
	if c.isFrozen() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *frozenConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestUnresponsiveConnections makes all connections half-open at once. Heartbeats get through only on new connections,
// so terms expire if unresponsive connections are not closed.
func TestUnresponsiveConnections(t *testing.T) {
	for name, keepUnresponsive := range map[string]bool{"unresponsive connections are closed": false, "unresponsive connections are kept open": true} {
		t.Run(name, func(t *testing.T) {
			nodes, listeners := startFreezableFleet(t, 4, keepUnresponsive)
			waitForTerms(t, nodes)
			for _, f := range listeners {
				f.freeze()
			}
			frozenAt := time.Now()
			if keepUnresponsive {
				eventually(t, "a term expires", func() bool { return !nodes[0].HoldsTerm(time.Now()) })
				return
			}
			eventually(t, "terms are renewed over new connections", func() bool {
				for _, n := range nodes {
					held := n.heldTerm.Load()
					if held == nil || held.until.Before(frozenAt.Add(2*n.config.Term)) {
						return false
					}
				}
				return true
			})
			for _, n := range nodes {
				is.New(t).True(n.HeldSince().Before(frozenAt)) // held without interruption
			}
		})
	}
}

func startFreezableFleet(t *testing.T, count int, keepUnresponsive bool) ([]*node, []*freezingListener) {
	t.Helper()
	var listeners []*freezingListener
	nodes, _ := startFleetWith(t, count, func(listener net.Listener) net.Listener {
		f := newFreezingListener(listener)
		listeners = append(listeners, f)
		return f
	}, slowHeartbeatInterval, keepUnresponsive)
	return nodes, listeners
}

func TestResetAfterStall(t *testing.T) {
	failureTimeout := DefaultTerm + DefaultMargin
	start := time.Unix(100, 0)
	newTable := func() *watchTable {
		table := newWatchTable("a", failureTimeout)
		message := heartbeat{From: "s", Incarnation: 1, FirstIncarnation: 1, Watchers: []eelgrassbeam.EntryID{"a"}}
		table.heartbeat(message, start)
		message.Held = true
		table.heartbeat(message, start)
		return table
	}
	late := start.Add(failureTimeout + time.Second)
	t.Run("without a reset the entry times out", func(t *testing.T) {
		is.New(t).Equal(len(newTable().findTimedOut(late)), 1)
	})
	t.Run("a short stall restarts the failure timeout", func(t *testing.T) {
		table := newTable()
		table.resetAfterStall(late, failureTimeout/2)
		is.New(t).Equal(len(table.findTimedOut(late)), 0)
		is.New(t).True(!table.grantVote("s", 1, late))
	})
	t.Run("a long stall removes the entry unless it is barred", func(t *testing.T) {
		table := newTable()
		table.resetAfterStall(late, 2*failureTimeout)
		is.New(t).Equal(len(table.records), 0)
		table = newTable()
		is.New(t).True(table.grantVote("s", 1, late))
		table.resetAfterStall(late, 2*failureTimeout)
		is.New(t).Equal(table.heartbeat(heartbeat{From: "s", Incarnation: 1, FirstIncarnation: 1}, late).Result, ackBarred)
	})
}

// TestStopWithFrozenHandshake guards against a server stop that hangs on a connection frozen during its handshake,
// which hung CI on a loaded machine.
func TestStopWithFrozenHandshake(t *testing.T) {
	is := is.New(t)
	nodes, listeners := startFreezableFleet(t, 1, false)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", nodes[0].listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	eventually(t, "the connection is accepted", func() bool { return listeners[0].accepted.Load() > 0 })
	listeners[0].freeze()
	_, err = conn.Write([]byte("P")) // unblocks the read on the frozen connection
	is.NoErr(err)
	stopped := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		nodes[0].stop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("server did not stop within 10 s")
	}
	group.Wait()
}
