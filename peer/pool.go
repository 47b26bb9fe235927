// Package peer carries the calls between entries over gRPC.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// KeepaliveTime is how long a connection is idle before it is probed; the library takes no less.
	KeepaliveTime = 10 * time.Second
	// KeepaliveTimeout is how long a probe waits before the connection is closed.
	KeepaliveTimeout = 2 * time.Second
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 80 << 20

	// Fixed windows save the library's probes of the bandwidth, which cost more than a heartbeat.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20

	backoffMax     = time.Second
	connectTimeout = 2 * time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// Credentials secure the connections; nil for plain text.
	Credentials credentials.TransportCredentials
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps one connection a peer address.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	conns  map[netip.AddrPort]*guarded
	closed bool
	// skipsPing leaves silent connections open; tests only.
	skipsPing bool
}

// ErrClosed reports a connection asked for after the pool was closed.
var ErrClosed = errors.New("peer pool is closed")

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	if config.Credentials == nil {
		config.Credentials = insecure.NewCredentials()
	}
	return &Pool{config: config, conns: make(map[netip.AddrPort]*guarded)}
}

// Conn returns the connection to the address; it connects on first use.
func (p *Pool) Conn(address netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if g, ok := p.conns[address]; ok {
		g.idle = 0
		return g.conn, nil
	}
	g := &guarded{}
	conn, err := grpc.NewClient("passthrough:///"+address.String(), p.options(g)...)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	g.conn = conn
	p.conns[address] = g
	return conn, nil
}

// Evict closes the connection to the address, so that the next call opens another.
func (p *Pool) Evict(address netip.AddrPort, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.conns[address]; !ok || g.conn != conn {
		return
	}
	delete(p.conns, address)
	_ = conn.Close()
}

// Keep closes the connections to all other addresses.
func (p *Pool) Keep(addresses map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, g := range p.conns {
		if !addresses[address] {
			delete(p.conns, address)
			_ = g.conn.Close()
		}
	}
}

// Close closes all connections; calls in progress fail, and Conn returns ErrClosed from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Keep(nil)
}

func (p *Pool) options(g *guarded) []grpc.DialOption {
	connect := grpc.ConnectParams{MinConnectTimeout: connectTimeout}
	connect.Backoff.BaseDelay = 50 * time.Millisecond
	connect.Backoff.Multiplier = 1.6
	connect.Backoff.Jitter = 0.2
	connect.Backoff.MaxDelay = backoffMax
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.config.Credentials),
		grpc.WithConnectParams(connect),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: KeepaliveTime, Timeout: KeepaliveTimeout,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(streamWindowBytes), grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithNoProxy(),
		grpc.WithUnaryInterceptor(g.count),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}
	if p.config.Dial == nil {
		return options
	}
	return append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return p.config.Dial(ctx, "tcp", address)
	}))
}

// NewServer returns a gRPC server for the listener between entries.
func NewServer(creds credentials.TransportCredentials) *grpc.Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: KeepaliveTime, Timeout: KeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: KeepaliveTime / 2, PermitWithoutStream: true}),
	)
}
