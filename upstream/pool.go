package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// pool manages the connections to one upstream at one address.
type pool struct {
	client  *Client
	address netip.AddrPort

	mu      sync.Mutex
	idle    []*connection // most recently used last
	open    int           // connections that are idle, in use or being dialed
	retired bool
}

// acquire returns the most recently used idle connection that hasn't carried the request, or opens a new one. If fresh is
// set, it closes the idle connections and opens a new one. It returns ErrConnectionLimit if limit connections are
// already open.
func (p *pool) acquire(ctx context.Context, id eelgrassbeam.RequestID, limit int, fresh bool) (*connection, error) {
	if idle := p.takeIdle(id, fresh); idle != nil {
		return idle, nil
	}
	if !p.reserve(limit) {
		return nil, fmt.Errorf("%w: %d connections to %s", ErrConnectionLimit, limit, p.address)
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return conn, nil
}

func (p *pool) takeIdle(id eelgrassbeam.RequestID, fresh bool) *connection {
	if fresh {
		p.closeIdle(0)
		return nil
	}
	p.closeIdle(p.client.config.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, conn := range slices.Backward(p.idle) {
		if !conn.hasCarried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			conn.reused = true
			return conn
		}
	}
	return nil
}

func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= limit {
		return false
	}
	p.open++
	p.client.metrics.connections.Inc()
	return true
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.client.metrics.connections.Dec()
}

// dial opens a connection and wraps its socket in a trackedConn.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.client.config.DialTimeout)
	defer cancel()
	opened := &connection{idleTimeout: p.client.config.IdleTimeout}
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.client.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			opened.tracked = &trackedConn{Conn: conn, clock: p.client.config.Clock}
			return opened.tracked, nil
		},
	}
	transport.Protocols.SetHTTP1(true)
	conn, err := transport.NewClientConn(ctx, "http", p.address.String())
	if err != nil {
		p.client.metrics.dialFailures.Inc()
		return nil, fmt.Errorf("%w: %s: %w", ErrDial, p.address, err)
	}
	p.client.metrics.dials.Inc()
	opened.http = conn
	return opened, nil
}

// release returns a connection to the pool after an exchange, or closes it if the exchange did not end cleanly.
func (p *pool) release(conn *connection, clean bool) {
	if clean {
		conn.tracked.endExchange()
	}
	if !clean || conn.http.Available() == 0 || !p.putIdle(conn) {
		conn.close()
		p.unreserve()
	}
}

func (p *pool) putIdle(conn *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	conn.idleSince = p.client.config.Clock.Now()
	p.idle = append(p.idle, conn)
	return true
}

// closeIdle closes idle connections that have failed or have been idle for the duration.
func (p *pool) closeIdle(after time.Duration) {
	for _, conn := range p.removeIdle(after) {
		conn.close()
		p.unreserve()
	}
}

func (p *pool) removeIdle(after time.Duration) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.config.Clock.Now()
	var kept, removed []*connection
	for _, conn := range p.idle {
		if conn.http.Err() != nil || now.Sub(conn.idleSince) >= min(after, conn.idleTimeout) {
			removed = append(removed, conn)
			continue
		}
		kept = append(kept, conn)
	}
	p.idle = kept
	return removed
}

// retire closes idle connections now, and those in use when their exchange ends.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(0)
}

// pool returns the upstream's pool. If the upstream's address has changed, it retires the old pool.
func (c *Client) pool(target eelgrassbeam.Upstream) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.pools[target.ID]
	if ok && found.address == target.Address {
		return found
	}
	if ok {
		found.retire()
	}
	created := &pool{client: c, address: target.Address, retired: c.closed}
	c.pools[target.ID] = created
	return created
}
