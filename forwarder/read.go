package forwarder

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// maxResponseBytes bounds an upstream's response, which is buffered completely before it is sent to the caller.
	maxResponseBytes = 64 << 20
	// defaultBodyBytes bounds a request's body if the configuration sets no limit.
	defaultBodyBytes = 64 << 20
	// defaultTimeout is the timeout of requests whose route sets none; the caller's deadline may shorten it.
	defaultTimeout = 30 * time.Second
	// maxConnections is this entry's limit of connections to one upstream if the service sets none.
	maxConnections = 256
)

// read matches the request to a route and reads its body. The outcome is nil unless the request is rejected; the
// call is never nil.
func (f *Forwarder) read(w http.ResponseWriter, r *http.Request) (*call, *outcome) {
	c := &call{startedAt: f.config.Clock.Now()}
	c.request = eelgrassbeam.Request{
		ID: eelgrassbeam.RequestID(r.Header.Get(upstream.HeaderRequestID)), Attempt: 1,
		Origin: f.config.Self.ID, OriginRegion: f.config.Self.Region,
		Method: r.Method, Host: r.Host, Target: eelgrassbeam.OriginTarget(r), Header: r.Header,
	}
	route, routeMatcher, routing := f.route(r)
	c.routing = routing
	switch {
	case routing == nil:
		rejection := f.reject(c, eelgrassbeam.ReasonNotReady, http.StatusServiceUnavailable)
		rejection.retryAfter = notReadyRetryAfter
		return c, rejection
	case route == nil:
		return c, f.reject(c, eelgrassbeam.ReasonNoRoute, http.StatusNotFound)
	case c.request.ID == "", r.Method == http.MethodConnect,
		routeMatcher.IsAmbiguous(hostWithoutPort(r), eelgrassbeam.TargetPath(c.request.Target)):
		return c, f.reject(c, eelgrassbeam.ReasonBadRequest, http.StatusBadRequest)
	}
	c.route = route
	if rejection := f.identify(c, r); rejection != nil {
		return c, rejection
	}
	if len(route.Shares) == 0 {
		return c, f.reject(c, eelgrassbeam.ReasonNoCapacity, http.StatusServiceUnavailable)
	}
	c.key = r.Header.Get(f.config.AffinityHeader)
	c.request.Service, c.request.Idempotent = routeMatcher.Service(route), route.Idempotent
	c.deadline = c.startedAt.Add(timeLeft(r, route))
	body, rejection := f.readBody(w, r, c)
	c.request.Body = body
	if rejection == nil {
		rejection = f.checkQuota(c)
	}
	return c, rejection
}

// timeLeft returns the time to the request's deadline: the caller's or the route's timeout, whichever is shorter.
func timeLeft(r *http.Request, route *eelgrassbeam.PathRoute) time.Duration {
	left := route.Timeout
	if left == 0 {
		left = defaultTimeout
	}
	milliseconds, err := strconv.ParseInt(r.Header.Get(upstream.HeaderDeadline), 10, 64)
	if err == nil && milliseconds > 0 {
		left = min(left, time.Duration(milliseconds)*time.Millisecond)
	}
	return left
}

func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, c *call) ([]byte, *outcome) {
	limit := c.routing.Limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return nil, f.reject(c, eelgrassbeam.ReasonTooLarge, http.StatusRequestEntityTooLarge)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.reject(c, eelgrassbeam.ReasonTooLarge, http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, f.reject(c, eelgrassbeam.ReasonBadRequest, http.StatusBadRequest)
	default:
		return body, nil
	}
}

func (f *Forwarder) reject(c *call, reason eelgrassbeam.Reason, status int) *outcome {
	return &outcome{reply: eelgrassbeam.NotRun(c.request.ID, reason), status: status}
}

func hostWithoutPort(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}
