package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a target. Its open connections can be silenced: they stay open, and nothing passes on
// them any more, while new ones work.
type proxy struct {
	address, target string
	group           sync.WaitGroup

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, links: make(map[*link]bool)}
	p.group.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.forward(client) })
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(client, server) })
	group.Go(func() { l.copy(server, client) })
	group.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// copy passes bytes on until either side closes. On a silent link it passes nothing on, not even the close.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silence()
	}
	return len(p.links)
}

func (l *link) silence() { l.once.Do(func() { close(l.silent) }) }
