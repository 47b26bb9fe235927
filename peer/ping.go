package peer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

const (
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
	pingService  = "eelgrassbeam.peer"
	pingMethod   = "Ping"
	// maxIdleIntervals is the number of ping intervals without use after which a connection is closed: 30 s.
	maxIdleIntervals = 60
)

// Ping is the empty message that checks whether a connection is alive.
type Ping struct{}

// pooledConn is a connection of the pool with its number of calls in progress.
type pooledConn struct {
	conn        *grpc.ClientConn
	activeCalls atomic.Int64
	pinging     atomic.Bool
	// idleIntervals counts ping intervals since the connection was last used; guarded by Pool.mu.
	idleIntervals int
}

func (c *pooledConn) trackCall(
	ctx context.Context, method string, request, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, options ...grpc.CallOption,
) error {
	c.activeCalls.Add(1)
	defer c.activeCalls.Add(-1)
	return invoke(ctx, method, request, reply, conn, options...)
}

// RegisterPing registers the service that answers the pings of other entries.
func RegisterPing(server grpc.ServiceRegistrar) {
	echo := func(_ any, _ context.Context, p *Ping) (*Ping, error) { return p, nil }
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: pingService,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{UnaryMethod(pingService, pingMethod, echo)},
	}, struct{}{})
}

// SendPing returns an error if the entry at the other end of the connection doesn't answer a ping.
func SendPing(ctx context.Context, conn grpc.ClientConnInterface) error {
	_, err := Call[Ping](ctx, conn, pingService, pingMethod, &Ping{})
	return err
}

// Run pings the connections that have calls in progress until the context ends. It closes connections whose
// ping fails or times out, and those that have been idle for maxIdleIntervals.
func (p *Pool) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-p.config.Clock.After(pingInterval):
			}
			p.closeIdle()
			for address, pooled := range p.connsToPing() {
				group.Go(func() error {
					p.ping(ctx, address, pooled)
					return nil
				})
			}
		}
	})
	return group.Wait()
}

// closeIdle closes connections that have not been used recently, so that the pool does not grow with the fleet.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pooled := range p.conns {
		if pooled.activeCalls.Load() > 0 {
			pooled.idleIntervals = 0
			continue
		}
		pooled.idleIntervals++
		if pooled.idleIntervals > maxIdleIntervals {
			delete(p.conns, address)
			_ = pooled.conn.Close()
		}
	}
}

func (p *Pool) connsToPing() map[netip.AddrPort]*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := make(map[netip.AddrPort]*pooledConn)
	if p.pingDisabled {
		return due
	}
	for address, pooled := range p.conns {
		if pooled.activeCalls.Load() > 0 && pooled.pinging.CompareAndSwap(false, true) {
			due[address] = pooled
		}
	}
	return due
}

func (p *Pool) ping(ctx context.Context, address netip.AddrPort, pooled *pooledConn) {
	defer pooled.pinging.Store(false)
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := SendPing(call, pooled.conn)
	if err == nil || ctx.Err() != nil {
		return
	}
	p.config.Log.WithFields(logrus.Fields{"event": "peer_silent", "peer": address, "error": err}).Warn("")
	p.Evict(address, pooled.conn)
}
