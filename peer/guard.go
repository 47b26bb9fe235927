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
	// idleTicks is after how many ping intervals without a call a connection is closed: 30 s.
	idleTicks = 60
)

// Ping is an empty message that proves a connection alive.
type Ping struct{}

// guarded is a connection with its calls in progress.
type guarded struct {
	conn    *grpc.ClientConn
	calls   atomic.Int64
	pinging atomic.Bool
	// idle counts ping intervals since the connection was last asked for; the pool's mutex guards it.
	idle int
}

func (g *guarded) count(
	ctx context.Context, method string, request, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, options ...grpc.CallOption,
) error {
	g.calls.Add(1)
	defer g.calls.Add(-1)
	return invoke(ctx, method, request, reply, conn, options...)
}

// RegisterPing lets peers prove their connections to this server alive.
func RegisterPing(server grpc.ServiceRegistrar) {
	answer := func(_ any, _ context.Context, p *Ping) (*Ping, error) { return p, nil }
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: pingService,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{Unary(pingService, pingMethod, answer)},
	}, struct{}{})
}

// Run pings each connection that has calls in progress, closes one that is silent, and those long idle, until the context ends.
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
			for address, g := range p.busy() {
				group.Go(func() error {
					p.ping(ctx, address, g)
					return nil
				})
			}
		}
	})
	return group.Wait()
}

// closeIdle closes connections that nobody has asked for lately, so that a pool does not grow with the fleet.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, g := range p.conns {
		if g.calls.Load() > 0 {
			g.idle = 0
			continue
		}
		g.idle++
		if g.idle > idleTicks {
			delete(p.conns, address)
			_ = g.conn.Close()
		}
	}
}

func (p *Pool) busy() map[netip.AddrPort]*guarded {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := make(map[netip.AddrPort]*guarded)
	if p.skipsPing {
		return busy
	}
	for address, g := range p.conns {
		if g.calls.Load() > 0 && g.pinging.CompareAndSwap(false, true) {
			busy[address] = g
		}
	}
	return busy
}

func (p *Pool) ping(ctx context.Context, address netip.AddrPort, g *guarded) {
	defer g.pinging.Store(false)
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := Call[Ping](call, g.conn, pingService, pingMethod, &Ping{})
	if err == nil || ctx.Err() != nil {
		return
	}
	p.config.Log.WithFields(logrus.Fields{"event": "peer_silent", "peer": address, "error": err}).Warn("")
	p.Evict(address, g.conn)
}
