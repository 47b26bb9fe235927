package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 2 * time.Second
	keepAliveIdle      = 5 * time.Second
	keepAliveInterval  = 2 * time.Second
	keepAliveCount     = 3
	maxHeaderBytes     = 256 << 10
	// maxErrorBytes bounds the error in a log line.
	maxErrorBytes = 512
)

// Config configures a Client.
type Config struct {
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
	// IdleTimeout is how long a connection may be idle before it is closed; it should be below that of the backend
	// servers.
	IdleTimeout time.Duration
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// LoadPath is the path at which upstreams report their load.
	LoadPath string
	// ProbePath is the path at which upstreams report their health.
	ProbePath string
	// ResponseMargin is subtracted from the deadline sent to upstreams, so that a response sent just in time still
	// arrives before the deadline.
	ResponseMargin time.Duration
	// Dialect configures the headers and the response framing that only some platforms use.
	Dialect Dialect
	// AcceptMissingID accepts responses without a request ID; the default is to reject them.
	AcceptMissingID bool
	// Dial opens connections; the default is TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialect describes the optional headers and the response framing of a platform. An empty name disables a header.
type Dialect struct {
	// ExpectedID names the request header with the upstream's ID, so that another upstream at its address rejects
	// the request.
	ExpectedID string
	// NotRun names the response header that marks a rejected request as not run, with any value.
	NotRun string
	// Load names the response header with the upstream's load as "in progress,waiting,slots".
	Load string
	// Limit names the response header with the requests per second that the upstream takes from all entries together.
	Limit string
	// Leaving names the response header that is "1" in responses of an upstream that is leaving.
	Leaving string
	// Team names the request header with the ID of the request's team.
	Team string
	// Receipt names the response header that every 2xx response of an upstream carries as a receipt.
	Receipt string
	// AcceptUnframed accepts responses without a length, whose end is the close of the connection.
	AcceptUnframed bool
}

// Limits bound one exchange.
type Limits struct {
	// BodyBytes is the maximum size of the response body.
	BodyBytes int64
	// ProgressTimeout is how long the exchange may go without a byte written or read before it is aborted.
	ProgressTimeout time.Duration
	// Connections is the maximum number of open connections to the upstream, including idle ones.
	Connections int
	// Reserve reserves buffer space, in bytes, for the part of the response, head and body, above ReservedBytes. It may wait
	// until the context is done, which may be after the exchange has returned. If it is nil, no space is reserved.
	Reserve       func(ctx context.Context, bytes int64) error
	ReservedBytes int64

	// isQuery is set for probes and load reports, whose responses may lack the request's ID and the receipt.
	isQuery bool
}

// guards enables the checks of each exchange. Tests disable them one by one to show what they prevent.
type guards struct {
	requestID  bool // the response must carry the request's ID
	complete   bool // the response must have a verified length
	atMostOnce bool // a request that may have been sent is neither reported as not run nor sent again
}

// Client sends requests to upstreams. Lock order: Client.mu before pool.mu.
type Client struct {
	config  Config
	metrics metrics
	guards  guards

	queryCount atomic.Uint64

	mu     sync.Mutex
	pools  map[eelgrassbeam.UpstreamID]*pool
	closed bool
}

// New returns a client without connections.
func New(config Config) *Client {
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}
		config.Dial = dialer.DialContext
	}
	return &Client{
		config:  config,
		metrics: newMetrics(config.Registerer),
		guards:  guards{requestID: true, complete: true, atMostOnce: true},
		pools:   make(map[eelgrassbeam.UpstreamID]*pool),
	}
}

// Run closes connections that exceed the idle timeout until the context ends, and then closes the client.
func (c *Client) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return nil
		case <-c.config.Clock.After(c.config.IdleTimeout / 2):
			for _, p := range c.allPools() {
				p.closeIdle(c.config.IdleTimeout)
			}
		}
	}
}

// Forget removes the upstream. Its idle connections are closed now, those in use when their exchange ends.
func (c *Client) Forget(id eelgrassbeam.UpstreamID) {
	c.mu.Lock()
	found, ok := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if ok {
		found.retire()
	}
}

// Close closes idle connections now, and those in use when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, p := range c.allPools() {
		p.retire()
	}
}

func (c *Client) allPools() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}

// Exchange sends the request at most once and returns the reply. The reply is valid even if an error is returned: it
// then holds the outcome and the reason, and the error holds the cause.
func (c *Client) Exchange(
	ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, limits Limits,
) (eelgrassbeam.Reply, error) {
	if _, ok := ctx.Deadline(); !ok && request.TimeLeft.Duration > 0 {
		bounded, cancel := context.WithTimeout(ctx, request.TimeLeft.Duration)
		defer cancel()
		ctx = bounded
	}
	reply, err := c.exchange(ctx, target, request, limits)
	reply.Upstream = target.ID
	c.recordExchange(target, reply, err)
	return reply, err
}

// exchange retries on a new connection only if the first one was reused and failed before any byte was sent.
func (c *Client) exchange(
	ctx context.Context, target eelgrassbeam.Upstream, request eelgrassbeam.Request, limits Limits,
) (eelgrassbeam.Reply, error) {
	if _, err := parseTarget(request); err != nil {
		return eelgrassbeam.NotRun(request.ID, eelgrassbeam.ReasonBadRequest), err
	}
	upstreamPool := c.pool(target)
	for fresh := false; ; fresh = true {
		conn, err := upstreamPool.acquire(ctx, request.ID, limits.Connections, fresh)
		if err != nil {
			return eelgrassbeam.NotRun(request.ID, reasonFor(ctx, err)), err
		}
		reply, nothingSent, err := c.send(ctx, conn, request, target, limits)
		upstreamPool.release(conn, err == nil || errors.Is(err, ErrShed) || errors.Is(err, ErrMisdirected))
		if !nothingSent || !conn.reused || fresh || ctx.Err() != nil {
			return reply, err
		}
	}
}

// send performs one exchange and reports whether the connection failed before any byte was sent.
func (c *Client) send(
	ctx context.Context, conn *connection, request eelgrassbeam.Request, target eelgrassbeam.Upstream, limits Limits,
) (reply eelgrassbeam.Reply, nothingSent bool, err error) {
	outgoing, err := c.outgoing(ctx, request, target)
	if err != nil {
		return eelgrassbeam.NotRun(request.ID, reasonFor(ctx, err)), false, err
	}
	conn.carry(request.ID)
	space := newReservation(limits)
	conn.tracked.beginExchange(limits.ProgressTimeout, func(bytes int64) error { return space.add(ctx, bytes) })
	response, err := conn.http.RoundTrip(outgoing)
	if err != nil {
		sent := conn.tracked.closeWrites() && c.guards.atMostOnce
		err = conn.wrapError(err)
		if !sent {
			return eelgrassbeam.NotRun(request.ID, reasonFor(ctx, err)), true, err
		}
		return eelgrassbeam.Unknown(request.ID, reasonFor(ctx, err)), false, err
	}
	defer func() { _ = response.Body.Close() }()
	conn.idleTimeout = keepAliveTimeout(response.Header.Get("Keep-Alive"), c.config.IdleTimeout)
	reply, err = c.receive(ctx, conn, response, request, space)
	if c.isFromUpstream(response, request.ID, limits) {
		reply.Load, reply.Notice = c.parseLoad(response.Header), c.parseNotice(response)
	}
	if err != nil && reply.Outcome == "" {
		reply = eelgrassbeam.Unknown(request.ID, reasonFor(ctx, err))
	}
	return reply, false, err
}

func reasonFor(ctx context.Context, err error) eelgrassbeam.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, ErrDial):
		return eelgrassbeam.ReasonDeadline
	case ctx.Err() != nil:
		return eelgrassbeam.ReasonCancelled
	case errors.Is(err, ErrConnectionLimit):
		return eelgrassbeam.ReasonNoCapacity
	case errors.Is(err, ErrTooLarge):
		return eelgrassbeam.ReasonTooLarge
	case errors.Is(err, ErrTarget):
		return eelgrassbeam.ReasonBadRequest
	default:
		return eelgrassbeam.ReasonUpstreamFailed
	}
}

func (c *Client) recordExchange(target eelgrassbeam.Upstream, reply eelgrassbeam.Reply, err error) {
	c.metrics.exchanges.WithLabelValues(string(reply.Outcome), string(reply.Reason)).Inc()
	if err == nil || c.config.Log == nil {
		return
	}
	text := err.Error()
	c.config.Log.WithFields(logrus.Fields{
		"event": "exchange_failed", "request": reply.RequestID, "upstream": target.ID,
		"outcome": reply.Outcome, "reason": reply.Reason, "error": text[:min(len(text), maxErrorBytes)],
	}).Warn("")
}
