package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connectionKey is the context key of a connection's state.
type connectionKey struct{}

// connection records whether a connection has carried a request.
type connection struct{ used atomic.Bool }

// Server returns an HTTP server for the backend that counts connections, enforces ConnectionLimit, and calls Close on
// shutdown.
func (b *Backend) Server() *http.Server {
	server := &http.Server{
		Handler:   b,
		ConnState: b.track,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{})
		},
	}
	server.RegisterOnShutdown(b.Close)
	return server
}

// track counts open connections and closes new ones beyond the limit.
func (b *Backend) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.handleNew(conn)
	case http.StateClosed, http.StateHijacked:
		b.counters.update(func(c *BackendCounts) { c.Connections-- })
	}
}

func (b *Backend) handleNew(conn net.Conn) {
	refused := false
	b.counters.update(func(c *BackendCounts) {
		c.Connections++
		refused = c.Connections > b.connectionLimit
		if refused {
			c.RefusedConnections++
			return
		}
		c.NewConnections++
	})
	if refused {
		// The server then reports StateClosed, which decrements the count of open connections.
		_ = conn.Close()
	}
}

// isFirstUse reports whether the request is the first on its connection.
func isFirstUse(r *http.Request) bool {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && !conn.used.Swap(true)
}
