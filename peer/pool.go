// Package peer carries the calls between entries over gRPC.
package peer

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// KeepaliveTime is how long a connection is idle before it is probed.
	KeepaliveTime = 2 * time.Second
	// KeepaliveTimeout is how long a probe waits before the connection is closed.
	KeepaliveTimeout = 2 * time.Second
	// MaxMessageBytes bounds one message.
	MaxMessageBytes = 80 << 20

	backoffMax     = time.Second
	connectTimeout = 2 * time.Second
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Credentials secure the connections; nil for plain text.
	Credentials credentials.TransportCredentials
}

// Pool keeps one connection a peer address.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	conns  map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	if config.Credentials == nil {
		config.Credentials = insecure.NewCredentials()
	}
	return &Pool{config: config, conns: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// Conn returns the connection to the address; it connects on first use.
func (p *Pool) Conn(address netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address.String(), p.options()...)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

// Evict closes the connection to the address, so that the next call opens another.
func (p *Pool) Evict(address netip.AddrPort, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != conn {
		return
	}
	delete(p.conns, address)
	_ = conn.Close()
}

// Keep closes the connections to all other addresses.
func (p *Pool) Keep(addresses map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !addresses[address] {
			delete(p.conns, address)
			_ = conn.Close()
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Keep(nil) }

func (p *Pool) options() []grpc.DialOption {
	connect := grpc.ConnectParams{MinConnectTimeout: connectTimeout}
	connect.Backoff.BaseDelay = 50 * time.Millisecond
	connect.Backoff.Multiplier = 1.6
	connect.Backoff.Jitter = 0.2
	connect.Backoff.MaxDelay = backoffMax
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.config.Credentials),
		grpc.WithConnectParams(connect),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: KeepaliveTime, Timeout: KeepaliveTimeout,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	}
}

// NewServer returns a gRPC server for the listener between entries.
func NewServer(creds credentials.TransportCredentials) *grpc.Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: KeepaliveTime, Timeout: KeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: KeepaliveTime / 2, PermitWithoutStream: true}),
	)
}
