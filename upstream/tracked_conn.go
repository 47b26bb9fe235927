package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/headchecker"
)

const writeChunkBytes = 64 << 10

// trackedConn records whether any byte of an exchange was written to the socket, and extends the read and write
// deadlines whenever bytes are written or read. Reads return io.EOF only after an orderly close by the upstream, and ErrHead at
// an invalid head.
type trackedConn struct {
	net.Conn
	clock           eelgrassbeam.Clock
	progressTimeout atomic.Int64 // a time.Duration; zero outside an exchange
	timedOut        atomic.Bool  // a read or write deadline was exceeded
	inExchange      atomic.Bool  // an exchange has begun and its response is incomplete

	mu               sync.Mutex
	writesClosed     bool
	writesInProgress int   // calls to the socket's Write
	bytesWritten     int64 // bytes written in the current exchange
	// writeFailure is the error of a write that failed because the connection was broken.
	writeFailure error
	// writesEnded is closed when writesInProgress falls to zero after the end of the stream; nil if nothing waits.
	writesEnded chan struct{}
	head        headchecker.Scanner
	// reserveHead reserves buffer space for bytes of the head.
	reserveHead func(bytes int64) error
}

// beginExchange resets the byte count and sets the progress timeout and the function that reserves buffer space for the
// response's head.
func (c *trackedConn) beginExchange(timeout time.Duration, reserveHead func(bytes int64) error) {
	c.mu.Lock()
	c.bytesWritten = 0
	c.head.Expect()
	c.reserveHead = reserveHead
	c.mu.Unlock()
	c.inExchange.Store(true)
	c.progressTimeout.Store(int64(timeout))
	c.extendDeadline()
}

// endExchange clears the deadlines after a complete response.
func (c *trackedConn) endExchange() {
	c.inExchange.Store(false)
	c.progressTimeout.Store(0)
	_ = c.SetDeadline(time.Time{})
}

// Close implements net.Conn. During an exchange it resets the connection: otherwise data in the kernel's send buffer
// could reach the upstream after a network fault ends, long after the caller has received the final response.
func (c *trackedConn) Close() error {
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && c.inExchange.Load() {
		if err := socket.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Join(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}

// closeWrites rejects all further writes and reports whether any byte may have been written.
func (c *trackedConn) closeWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesClosed = true
	return c.writesInProgress > 0 || c.bytesWritten > 0
}

// Write implements net.Conn. It writes in chunks, so that each chunk counts as progress.
func (c *trackedConn) Write(p []byte) (int, error) {
	total := 0
	for {
		chunk := p[total:min(total+writeChunkBytes, len(p))]
		n, err := c.writeChunk(chunk)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

func (c *trackedConn) writeChunk(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesClosed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writesInProgress++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	err = c.endWrite(n, err)
	c.recordIO(n, err)
	return n, err
}

// endWrite records the result of a write to the socket and returns its error.
func (c *trackedConn) endWrite(n int, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesInProgress--
	c.bytesWritten += int64(n)
	if c.writesEnded != nil && c.writesInProgress == 0 {
		close(c.writesEnded)
		c.writesEnded = nil
	}
	switch {
	case err == nil, errors.Is(err, net.ErrClosed), errors.Is(err, syscall.EPIPE):
		// The first error is EPIPE, not ECONNRESET, if the upstream closed its side before the reset.
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.writeFailure = err
	case c.writesClosed:
		return net.ErrClosed // stopWrites has expired the deadline
	}
	return err
}

// recordIO extends the deadlines after progress and records whether one was exceeded.
func (c *trackedConn) recordIO(n int, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
		return
	}
	if n > 0 {
		c.extendDeadline()
	}
}

func (c *trackedConn) extendDeadline() {
	if timeout := time.Duration(c.progressTimeout.Load()); timeout > 0 {
		_ = c.SetDeadline(c.clock.Now().Add(timeout))
	}
}
