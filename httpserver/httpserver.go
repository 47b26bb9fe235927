// Package httpserver is an HTTP/1.1 server for callers that pipeline requests. It parses and writes messages with
// net/http, but unlike its server it handles the requests of a connection concurrently and detects a disconnect of
// the caller immediately.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// maxPending is the capacity of a connection's queue of requests that are read but not yet answered.
	maxPending = 16
	// lingerTimeout is how long a connection is read after its last response. Closing a connection with unread bytes
	// would reset it, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// bodyTimeout bounds the time for reading a request's body.
	bodyTimeout = 30 * time.Second
	// noBufferRetryAfter is the Retry-After, in seconds, of a request for whose body there is no buffer space.
	noBufferRetryAfter = "1"
	// writeTimeout is the timeout for writing a response, in case the caller does not read it.
	writeTimeout = 20 * time.Second
	// pollInterval is the time between checks by Shutdown for open connections, and the delay before a failed accept is
	// retried.
	pollInterval = 20 * time.Millisecond
)

// Limits holds size limits and timeouts for callers; zero values mean no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config configures a Server.
type Config struct {
	Clock      eelgrassbeam.Clock
	Handler    http.Handler
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
	// RequestIDHeader is the name of the request header that holds the request's ID, for the log.
	RequestIDHeader string
	// ReserveBody reserves buffer space for a part of a request's body, in bytes. Without space the request is rejected
	// before it is handled.
	ReserveBody func(r *http.Request, bytes int64) (release func(), err error)
	// Limits returns the current limits. It is called for each request.
	Limits func() Limits
	// AllowConcurrent reports whether a request may be handled while earlier ones of its connection are unanswered.
	// Other requests wait for the earlier responses: if one of these closes the connection, the caller sends the
	// later requests again, so they must not have been run.
	AllowConcurrent func(r *http.Request) bool
}

// Server is an HTTP/1.1 server. Lock order: Server.mu before connection.mu.
type Server struct {
	config Config
	group  errgroup.Group
	// rejections counts by status and reason.
	rejections *prometheus.CounterVec
	// draining makes each connection close after its next request.
	draining atomic.Bool

	mu          sync.Mutex
	connections map[*connection]bool
	stopping    bool
}

// New returns a Server without connections.
func New(config Config) *Server {
	return &Server{config: config, rejections: newRejections(config.Registerer), connections: make(map[*connection]bool)}
}

// Serve accepts and serves connections until the listener is closed, or an accept fails after the context is done. It
// returns nil; other accept errors are retried.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return nil
			case <-s.config.Clock.After(pollInterval):
				continue // temporary error, such as no free file descriptor
			}
		}
		s.start(ctx, conn)
	}
}

func (s *Server) start(ctx context.Context, conn net.Conn) {
	c := newConnection(ctx, s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		c.cancel()
		_ = conn.Close()
		return
	}
	s.connections[c] = true
	s.group.Go(func() error {
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, c)
		return nil
	})
}

// Drain closes each connection after the response to its next request.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections at once and the others after their pending responses. It returns nil when all are
// closed, or the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for c := range s.connections {
		c.stop()
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		open := len(s.connections)
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.config.Clock.After(pollInterval):
		}
	}
}

// Close closes all connections immediately and cancels their requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c := range s.connections {
		c.cancel()
		_ = c.conn.Close()
	}
}
