package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connectionKey is the context key of a connection's state.
type connectionKey struct{}

// connection tells whether a connection has paid its cost.
type connection struct{ paid atomic.Bool }

// Server returns an HTTP server for the backend that bounds and counts
// connections and ends frozen exchanges on shutdown.
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

// track counts connections and closes those beyond the limit.
func (b *Backend) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.opened(conn)
	case http.StateClosed, http.StateHijacked:
		b.ledger.update(func(c *BackendCounts) { c.Connections-- })
	}
}

func (b *Backend) opened(conn net.Conn) {
	refused := false
	b.ledger.update(func(c *BackendCounts) {
		c.Connections++
		refused = c.Connections > b.connectionLimit
		if refused {
			c.RefusedConnections++
			return
		}
		c.NewConnections++
	})
	if refused {
		// The server sees the closed connection and reports its end.
		_ = conn.Close()
	}
}

// isFirstUse tells whether the request is the first on its connection.
func isFirstUse(r *http.Request) bool {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && !conn.paid.Swap(true)
}
