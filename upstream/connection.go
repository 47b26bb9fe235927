package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connection is an HTTP/1.1 connection that carries one exchange at a time.
type connection struct {
	http      *http.ClientConn
	tracked   *trackedConn
	reused    bool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before it is no longer reused.
	idleTimeout time.Duration
}

// keepAliveTimeout returns how long a connection may be idle, at most maximum. It is two thirds of the timeout in the
// upstream's Keep-Alive header, to allow for the transit time of the response and of the next request.
func keepAliveTimeout(header string, maximum time.Duration) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maximum, time.Duration(seconds)*time.Second*2/3)
		}
	}
	return maximum
}

func (c *connection) close() {
	c.tracked.closeWrites()
	_ = c.http.Close()
}

// wrapError joins the error of a failed exchange with ErrProgress or ErrConnectionFailed.
func (c *connection) wrapError(err error) error {
	if c.tracked.timedOut.Load() {
		return errors.Join(ErrProgress, err)
	}
	return errors.Join(ErrConnectionFailed, err)
}
