package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// storeProxy stands between one entry and the store. Connections through it can go silent: nothing passes any more, and they
// are not closed.
type storeProxy struct {
	deployment *deployment
	target     string
	mu         sync.Mutex
	links      map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	isSilent       atomic.Bool
	// isWaiting reports whether the client has sent a call that isn't answered yet.
	isWaiting atomic.Bool
}

// newStoreProxy returns a proxy for the entry and makes it the store's address in the entry's settings.
func (d *deployment) newStoreProxy(e *entry) (*storeProxy, error) {
	p := &storeProxy{deployment: d, target: address(d.storeIP, storePort), links: make(map[*link]bool)}
	e.storeAddress = address(d.nextIP(), storePort)
	listener, err := net.Listen("tcp", e.storeAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	d.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.group.Go(func() { p.carry(conn) })
		}
	})
	return p, nil
}

func (p *storeProxy) carry(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, client, true) })
	both.Go(func() { l.copy(client, server, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. What comes after it has gone silent is dropped.
func (l *link) copy(to, from net.Conn, isCall bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.isSilent.Load() {
			if n > 0 {
				l.isWaiting.Store(isCall)
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				_ = to.Close()
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || isCall {
				_ = from.Close()
			}
			return
		}
	}
}

// silence lets the connections go silent on which a call waits for its answer, and returns how many did and how many go on.
func (p *storeProxy) silence() (silent, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		switch {
		case l.isSilent.Load():
		case l.isWaiting.Load():
			l.isSilent.Store(true)
			silent++
		default:
			others++
		}
	}
	return silent, others
}
