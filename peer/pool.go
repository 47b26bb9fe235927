// Package peer implements gRPC connections, servers and calls between entries.
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
	// KeepaliveTime is how long a connection is idle before a keepalive ping is sent; it is the minimum in grpc-go.
	KeepaliveTime = 10 * time.Second
	// KeepaliveTimeout is how long to wait for the answer to a keepalive ping before the connection is closed.
	KeepaliveTimeout = 2 * time.Second
	// MaxMessageBytes is the maximum size of one message.
	MaxMessageBytes = 80 << 20

	// Fixed flow-control windows disable grpc-go's bandwidth estimation, whose pings cost more than a heartbeat.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20

	maxBackoff     = time.Second
	connectTimeout = 2 * time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// MaxMessageBytes is the maximum size of one message; zero means MaxMessageBytes of this package.
	MaxMessageBytes int
	// Credentials secure the connections; the default is plain text.
	Credentials credentials.TransportCredentials
	// Dial opens connections; the default is TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds one connection per peer address.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	conns  map[netip.AddrPort]*pooledConn
	closed bool
	// pingDisabled keeps unresponsive connections open; for tests only.
	pingDisabled bool
}

// ErrClosed reports that a connection was requested from a closed pool.
var ErrClosed = errors.New("peer connection pool is closed")

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	if config.Credentials == nil {
		config.Credentials = insecure.NewCredentials()
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = MaxMessageBytes
	}
	return &Pool{config: config, conns: make(map[netip.AddrPort]*pooledConn)}
}

// Conn returns the connection to the address, which is established with the first call.
func (p *Pool) Conn(address netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if pooled, ok := p.conns[address]; ok {
		pooled.idleIntervals = 0
		return pooled.conn, nil
	}
	pooled := &pooledConn{}
	conn, err := grpc.NewClient("passthrough:///"+address.String(), p.options(pooled)...)
	if err != nil {
		return nil, fmt.Errorf("create connection to peer %s: %w", address, err)
	}
	pooled.conn = conn
	p.conns[address] = pooled
	return conn, nil
}

// Evict closes conn if it is the pool's connection to the address, so that the next Conn returns a new one.
func (p *Pool) Evict(address netip.AddrPort, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pooled, ok := p.conns[address]; !ok || pooled.conn != conn {
		return
	}
	delete(p.conns, address)
	_ = conn.Close()
}

// closeExcept closes the connections to all addresses that are not in keep.
func (p *Pool) closeExcept(keep map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pooled := range p.conns {
		if !keep[address] {
			delete(p.conns, address)
			_ = pooled.conn.Close()
		}
	}
}

// Close closes all connections. Calls in progress fail, and Conn then returns ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeExcept(nil)
}

func (p *Pool) options(pooled *pooledConn) []grpc.DialOption {
	connect := grpc.ConnectParams{MinConnectTimeout: connectTimeout}
	connect.Backoff.BaseDelay = 50 * time.Millisecond
	connect.Backoff.Multiplier = 1.6
	connect.Backoff.Jitter = 0.2
	connect.Backoff.MaxDelay = maxBackoff
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
		grpc.WithUnaryInterceptor(pooled.trackCall),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(p.config.MaxMessageBytes), grpc.MaxCallSendMsgSize(p.config.MaxMessageBytes)),
	}
	if p.config.Dial == nil {
		return options
	}
	return append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return p.config.Dial(ctx, "tcp", address)
	}))
}

// ServerConfig configures a server for calls from other entries.
type ServerConfig struct {
	// Credentials secure the connections; the default is plain text.
	Credentials credentials.TransportCredentials
	// MaxMessageBytes is the maximum size of one message; zero means MaxMessageBytes of this package.
	MaxMessageBytes int
}

// NewServer returns a gRPC server for calls from other entries.
func NewServer(config ServerConfig) *grpc.Server {
	if config.Credentials == nil {
		config.Credentials = insecure.NewCredentials()
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = MaxMessageBytes
	}
	return grpc.NewServer(
		grpc.Creds(config.Credentials),
		grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(config.MaxMessageBytes), grpc.MaxSendMsgSize(config.MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: KeepaliveTime, Timeout: KeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: KeepaliveTime / 2, PermitWithoutStream: true}),
	)
}
