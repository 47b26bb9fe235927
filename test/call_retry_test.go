package test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerSendsOnce guards against hidden retries: net/http's transport sends a request without a body again when a
// reused connection fails. The scenarios would count such a retry as a second execution.
func TestCallerSendsOnce(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == 1 {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		is.NoErr(conn.Close())
	}))
	defer server.Close()
	client := newClient(1, time.Second)
	defer client.CloseIdleConnections()
	request := callRequest{base: server.URL, method: http.MethodGet, path: "/", header: http.Header{}}
	_, err := request.send(client)
	is.NoErr(err)
	_, err = request.send(client)
	is.True(err != nil)
	is.Equal(received.Load(), int32(2))
}
