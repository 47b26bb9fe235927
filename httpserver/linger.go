package httpserver

import (
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryPollInterval is the time between checks whether the caller's host has received all responses.
const deliveryPollInterval = 100 * time.Millisecond

// linger keeps the connection open after its last response until the caller's host has received all of them, or writeTimeout
// has passed. Closing it earlier would drop what the kernel still holds as soon as the caller sends another request.
func (c *connection) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || !isSending(tcp) {
		return
	}
	clock := c.server.config.Clock
	end := clock.Now().Add(writeTimeout)
	c.halfClose()
	for isSending(tcp) && clock.Now().Before(end) {
		if !c.discardFor(deliveryPollInterval) {
			return
		}
	}
	c.discardFor(lingerTimeout)
}

// discardFor discards input for the duration. It returns false if the connection has ended.
func (c *connection) discardFor(duration time.Duration) bool {
	_ = c.conn.SetReadDeadline(c.server.config.Clock.Now().Add(duration))
	_, err := io.Copy(io.Discard, c.reader)
	return isTimeout(err)
}

// isSending reports whether the kernel holds bytes of the connection that the other host hasn't acknowledged.
func isSending(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return controlErr == nil && err == nil && unacknowledged > 0
}
