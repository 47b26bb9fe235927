package upstream

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// rememberedRequests is the number of latest requests on a connection whose IDs it doesn't carry again: a repeated response
// to an earlier one could not be told from the response to the later one.
const rememberedRequests = 32

// connection is an HTTP/1.1 connection that carries one exchange at a time.
type connection struct {
	http      *http.ClientConn
	tracked   *trackedConn
	reused    bool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before it is no longer reused.
	idleTimeout time.Duration
	// requests are the hashes of the latest request IDs, the oldest first.
	requests []uint64
}

// hasCarried reports whether one of the latest requests on the connection had the ID.
func (c *connection) hasCarried(id eelgrassbeam.RequestID) bool {
	return slices.Contains(c.requests, xxhash.Sum64String(string(id)))
}

// carry records that the connection carries a request with the ID.
func (c *connection) carry(id eelgrassbeam.RequestID) {
	if len(c.requests) >= rememberedRequests {
		c.requests = slices.Delete(c.requests, 0, 1)
	}
	c.requests = append(c.requests, xxhash.Sum64String(string(id)))
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
