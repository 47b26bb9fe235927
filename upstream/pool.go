package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// pool holds the connections to one upstream at one address.
type pool struct {
	client  *Client
	address netip.AddrPort

	mu      sync.Mutex
	idle    []*link // the most recently used last
	open    int     // idle, in use and being dialled
	retired bool
}

// acquire returns the most recently used idle connection or opens another.
func (p *pool) acquire(ctx context.Context, limit int, fresh bool) (*link, error) {
	if found := p.takeIdle(fresh); found != nil {
		return found, nil
	}
	if !p.reserve(limit) {
		return nil, fmt.Errorf("%w: %d to %s", ErrConnectionLimit, limit, p.address)
	}
	opened, err := p.dial(ctx)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return opened, nil
}

func (p *pool) takeIdle(fresh bool) *link {
	if fresh {
		p.closeIdle(0)
		return nil
	}
	p.closeIdle(p.client.config.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	found := p.idle[last]
	p.idle = p.idle[:last]
	found.reused = true
	return found
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

// dial opens a connection and wraps its socket.
func (p *pool) dial(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, p.client.config.DialTimeout)
	defer cancel()
	opened := &link{idleFor: p.client.config.IdleTimeout}
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.client.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			opened.counted = &countedConn{Conn: conn, clock: p.client.config.Clock}
			return opened.counted, nil
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

// release takes back a connection after an exchange and keeps it if the exchange ended cleanly.
func (p *pool) release(l *link, clean bool) {
	if clean {
		l.counted.end()
	}
	if !clean || l.http.Available() == 0 || !p.keep(l) {
		l.close()
		p.unreserve()
	}
}

func (p *pool) keep(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return false
	}
	l.idleAt = p.client.config.Clock.Now()
	p.idle = append(p.idle, l)
	return true
}

// closeIdle closes connections that have failed or have been idle for the duration.
func (p *pool) closeIdle(after time.Duration) {
	for _, l := range p.removeIdle(after) {
		l.close()
		p.unreserve()
	}
}

func (p *pool) removeIdle(after time.Duration) []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.config.Clock.Now()
	var kept, removed []*link
	for _, l := range p.idle {
		if l.http.Err() != nil || now.Sub(l.idleAt) >= min(after, l.idleFor) {
			removed = append(removed, l)
			continue
		}
		kept = append(kept, l)
	}
	p.idle = kept
	return removed
}

// retire closes idle connections now and those in use after their exchange.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(0)
}

// pool returns the upstream's pool; a changed address retires the old one.
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
	made := &pool{client: c, address: target.Address, retired: c.closed}
	c.pools[target.ID] = made
	return made
}
