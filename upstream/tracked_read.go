package upstream

import (
	"errors"
	"fmt"
	"io"
)

// Read implements net.Conn. The kernel reports a reset only once: after a write has returned that error, a read returns io.EOF,
// as after an orderly close.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.stopWrites(); failure != nil {
			err = failure
		}
	}
	c.recordIO(n, err)
	if invalid := c.scanHead(p[:n]); invalid != nil {
		return 0, invalid // net/http would use the bytes despite the error
	}
	return n, err
}

// scanHead validates bytes of the response's head and reserves buffer space for them.
func (c *trackedConn) scanHead(p []byte) error {
	c.mu.Lock()
	before := c.head.Cost()
	err := c.head.Scan(p)
	cost, reserve := c.head.Cost()-before, c.reserveHead
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrHead, err)
	}
	if cost == 0 {
		return nil
	}
	return reserve(cost)
}

// stopWrites rejects all further writes, aborts the one in progress and returns the error if a write failed because the
// connection was broken.
func (c *trackedConn) stopWrites() error {
	c.mu.Lock()
	c.writesClosed = true
	if c.writesInProgress > 0 {
		c.writesEnded = make(chan struct{})
		_ = c.SetWriteDeadline(c.clock.Now())
	}
	ended := c.writesEnded
	c.mu.Unlock()
	if ended != nil {
		<-ended
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFailure
}
