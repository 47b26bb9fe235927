package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const writePieceBytes = 64 << 10

// countedConn knows whether anything of an exchange was handed to the kernel
// and moves its deadlines with each byte of progress.
type countedConn struct {
	net.Conn
	clock    eelgrassbeam.Clock
	progress atomic.Int64 // time.Duration, zero outside an exchange
	stalled  atomic.Bool  // a deadline has passed
	busy     atomic.Bool  // an exchange has begun and its answer is not whole yet

	mu      sync.Mutex
	sealed  bool
	writing int   // writes in progress
	written int64 // bytes handed over in this exchange
}

// begin starts an exchange.
func (c *countedConn) begin(progress time.Duration) {
	c.mu.Lock()
	c.written = 0
	c.mu.Unlock()
	c.busy.Store(true)
	c.progress.Store(int64(progress))
	c.extend()
}

// end ends an exchange whose answer is whole.
func (c *countedConn) end() {
	c.busy.Store(false)
	c.progress.Store(0)
	_ = c.SetDeadline(time.Time{})
}

// Close implements net.Conn. An exchange that is given up resets the connection: what the kernel still holds would otherwise reach
// the upstream whenever a broken path heals, long after the caller has its final answer.
func (c *countedConn) Close() error {
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && c.busy.Load() {
		if err := socket.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Join(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}

// seal bars all further writes and tells whether anything may have been handed over.
func (c *countedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing > 0 || c.written > 0
}

// Write implements net.Conn. It writes in pieces, so that each counts as progress.
func (c *countedConn) Write(p []byte) (int, error) {
	total := 0
	for {
		piece := p[total:min(total+writePieceBytes, len(p))]
		n, err := c.writePiece(piece)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

func (c *countedConn) writePiece(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written += int64(n)
	c.mu.Unlock()
	c.note(n, err)
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(n, err)
	return n, err
}

// note moves the deadlines after progress and remembers that they have passed.
func (c *countedConn) note(n int, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.stalled.Store(true)
		return
	}
	if n > 0 {
		c.extend()
	}
}

func (c *countedConn) extend() {
	if progress := time.Duration(c.progress.Load()); progress > 0 {
		_ = c.SetDeadline(c.clock.Now().Add(progress))
	}
}
