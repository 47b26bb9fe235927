package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

const testTimeout = 10 * time.Second

// testServer is a Server on a loopback listener.
type testServer struct {
	server  *Server
	address string
}

func newTestServer(t *testing.T, handler http.HandlerFunc, limits Limits) testServer {
	t.Helper()
	return newConfiguredServer(t, Config{}, handler, limits)
}

func newConfiguredServer(t *testing.T, config Config, handler http.HandlerFunc, limits Limits) testServer {
	t.Helper()
	config.Clock, config.Handler = clockwork.NewRealClock(), handler
	if config.Limits == nil {
		config.Limits = func() Limits { return limits }
	}
	if config.AllowConcurrent == nil {
		config.AllowConcurrent = func(r *http.Request) bool { return r.Method == http.MethodGet }
	}
	r := New(config)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var group errgroup.Group
	group.Go(func() error { return r.Serve(context.Background(), listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		r.Close()
		_ = group.Wait()
	})
	return testServer{server: r, address: listener.Addr().String()}
}

// open opens a connection and sends the text.
func (s testServer) open(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	is.New(t).NoErr(err)
	return conn, bufio.NewReader(conn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

func requireResponse(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, status)
	if body != "" {
		is.Equal(string(text), body)
	}
	return response
}

func requireEOF(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	_, err := reader.ReadByte()
	is.New(t).Equal(err, io.EOF)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func TestPipelining(t *testing.T) {
	t.Run("concurrent handling, responses in order", func(t *testing.T) {
		second := make(chan struct{})
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				close(second)
			} else {
				<-second // blocks forever if requests are handled sequentially
			}
			echo(w, r)
		}, Limits{})
		_, reader := s.open(t, get("/1")+get("/2"))
		requireResponse(t, reader, http.StatusOK, "/1 ")
		requireResponse(t, reader, http.StatusOK, "/2 ")
	})
	t.Run("more requests than may be pending", func(t *testing.T) {
		s := newTestServer(t, echo, Limits{})
		const count = 3 * maxPending
		_, reader := s.open(t, strings.Repeat(get("/n"), count))
		for range count {
			requireResponse(t, reader, http.StatusOK, "/n ")
		}
	})
	t.Run("a non-idempotent request waits for earlier responses", func(t *testing.T) {
		var running, maxRunning atomic.Int32
		overlapped := make(chan struct{})
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			select {
			case overlapped <- struct{}{}: // another request is running
			case <-overlapped:
			case <-time.After(20 * time.Millisecond):
			}
			running.Add(-1)
			echo(w, r)
		}, Limits{})
		post := "POST /p HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx"
		_, reader := s.open(t, post+post+post)
		for range 3 {
			requireResponse(t, reader, http.StatusOK, "/p x")
		}
		is.New(t).Equal(maxRunning.Load(), int32(1))
	})
}

// TestCallerDisconnects covers each state in which the server reads no further request, so that only a watch on the
// connection shows that the caller has left. Work for a caller that has left is wasted.
func TestCallerDisconnects(t *testing.T) {
	post := "POST /2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx"
	for name, test := range map[string]struct {
		text  string
		drain bool
	}{
		"one more request is buffered":               {text: get("/1") + get("/2")},
		"Connection: close":                          {text: "GET /1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"},
		"HTTP/1.0":                                   {text: "GET /1 HTTP/1.0\r\nHost: a.example\r\n\r\n"},
		"the server is draining":                     {text: get("/1"), drain: true},
		"an invalid request follows":                 {text: get("/1") + "hello\r\n\r\n"},
		"a non-idempotent request waits":             {text: get("/1") + post},
		"a non-idempotent request waits, one behind": {text: get("/1") + post + get("/3")},
		"as many requests as may be pending":         {text: get("/1") + strings.Repeat(get("/2"), maxPending+2)},
	} {
		for kind, disconnect := range map[string]func(*net.TCPConn) error{
			"closed":      (*net.TCPConn).Close,
			"half-closed": (*net.TCPConn).CloseWrite,
			"reset": func(conn *net.TCPConn) error {
				return errors.Join(conn.SetLinger(0), conn.Close())
			},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				requireCancelled(t, test.text, test.drain, disconnect)
			})
		}
	}
}

// requireCancelled sends the text, disconnects while request /1 is handled and requires that its context is cancelled.
func requireCancelled(t *testing.T, text string, drain bool, disconnect func(*net.TCPConn) error) {
	t.Helper()
	started, ended := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			close(started)
			<-r.Context().Done()
			close(ended)
		}
	}, Limits{})
	if drain {
		s.server.Drain()
	}
	conn, _ := s.open(t, text)
	<-started
	tcp, ok := conn.(*net.TCPConn)
	is.New(t).True(ok)
	is.New(t).NoErr(disconnect(tcp))
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("request context not cancelled after the caller disconnected")
	}
}

// Guards against an empty 200 that the caller takes for its response, if it has closed only its sending side.
func TestCancelledRequestGetsNoResponse(t *testing.T) {
	started := make(chan struct{}, 2)
	s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	}, Limits{})
	conn, reader := s.open(t, get("/1")+get("/2"))
	<-started
	<-started
	tcp, ok := conn.(*net.TCPConn)
	is.New(t).True(ok)
	is.New(t).NoErr(tcp.CloseWrite())
	requireEOF(t, reader)
}

func TestBodies(t *testing.T) {
	s := newTestServer(t, echo, Limits{})
	t.Run("chunked", func(t *testing.T) {
		_, reader := s.open(t, "POST /c HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"+get("/next"))
		requireResponse(t, reader, http.StatusOK, "/c abc")
		requireResponse(t, reader, http.StatusOK, "/next ")
	})
	t.Run("100-continue expected", func(t *testing.T) {
		conn, reader := s.open(t, "POST /e HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
		requireResponse(t, reader, http.StatusContinue, "")
		_, err := io.WriteString(conn, "ok")
		is.New(t).NoErr(err)
		requireResponse(t, reader, http.StatusOK, "/e ok")
	})
	t.Run("100-continue expected by a caller of HTTP/1.0", func(t *testing.T) {
		_, reader := s.open(t, "POST /e HTTP/1.0\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nok")
		requireResponse(t, reader, http.StatusOK, "/e ok")
	})
}

// Guards against an interim response before or inside the response to an earlier request.
func TestInterimResponseInOrder(t *testing.T) {
	const count = maxPending - 1
	expecting := "PUT /p HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nok"
	large := strings.Repeat("x", 64*writeBufferBytes)
	release := make(chan struct{})
	config := Config{AllowConcurrent: func(*http.Request) bool { return true }}
	s := newConfiguredServer(t, config, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			echo(w, r)
			return
		}
		<-release
		_, _ = io.WriteString(w, large)
	}, Limits{})
	conn, reader := s.open(t, strings.Repeat(get("/g")+expecting, count/2))
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err := reader.Peek(1)
	is.True(isTimeout(err)) // nothing arrives before the response to the first request
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	close(release)
	for range count / 2 {
		requireResponse(t, reader, http.StatusOK, large)
		requireResponse(t, reader, http.StatusContinue, "")
		requireResponse(t, reader, http.StatusOK, "/p ok")
	}
}

// Guards against callers that send without end: each part of a request is bounded in bytes, and no body is read for
// which there is no buffer space.
func TestEndlessRequests(t *testing.T) {
	limits := Limits{HeaderBytes: 4096, BodyBytes: 64 << 10, HeaderTimeout: testTimeout}
	s := newTestServer(t, echo, limits)
	post := "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, test := range map[string]struct {
		start, unit string
		status      int
	}{
		"request line":      {"GET /", "a", http.StatusRequestHeaderFieldsTooLarge},
		"header":            {"GET / HTTP/1.1\r\nHost: a\r\nX-A: ", "a", http.StatusRequestHeaderFieldsTooLarge},
		"number of headers": {"GET / HTTP/1.1\r\nHost: a\r\n", "X-A: b\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"chunks":            {post + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", http.StatusRequestEntityTooLarge},
		"chunk extension":   {post + "Transfer-Encoding: chunked\r\n\r\n4;a=", "b", http.StatusBadRequest},
		"trailers":          {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", http.StatusBadRequest},
		"declared length":   {post + "Content-Length: 1000000000000\r\n\r\n", "body", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := s.open(t, test.start)
			var group errgroup.Group
			group.Go(func() error {
				unit := strings.Repeat(test.unit, 1+(16<<10)/len(test.unit))
				for {
					if _, err := io.WriteString(conn, unit); err != nil {
						return nil // the server has closed the connection
					}
				}
			})
			response := requireResponse(t, reader, test.status, "")
			is.New(t).True(response.Close)
			is.New(t).NoErr(group.Wait())
		})
	}
}

func TestNoBufferSpace(t *testing.T) {
	is := is.New(t)
	var reserved, handled atomic.Int64
	released := make(chan struct{}, 100)
	r := Config{ReserveBody: func(_ *http.Request, size int64) (func(), error) {
		if reserved.Add(size) > 1<<20 {
			reserved.Add(-size)
			return nil, errors.New("no space")
		}
		return func() {
			reserved.Add(-size)
			released <- struct{}{}
		}, nil
	}}
	s := newConfiguredServer(t, r, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		echo(w, r)
	}, Limits{})
	large := "POST /l HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000000\r\n\r\n"
	_, reader := s.open(t, large)
	response := requireResponse(t, reader, http.StatusServiceUnavailable, "")
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(handled.Load(), int64(0))
	for range 5 { // the space is returned after each response
		_, reader := s.open(t, "POST /s HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n"+strings.Repeat("a", 0x80000)+"\r\n0\r\n\r\n")
		requireResponse(t, reader, http.StatusOK, "")
	}
	timeout := time.After(testTimeout)
	for reserved.Load() > 0 {
		select {
		case <-released:
		case <-timeout:
			t.Fatalf("%d bytes are still reserved after all responses", reserved.Load())
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	s := newTestServer(t, echo, Limits{HeaderBytes: 4096, HeaderTimeout: 100 * time.Millisecond})
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"missing host":         {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"not HTTP":             {"hello\r\n\r\n", http.StatusBadRequest},
		"two content lengths":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		"invalid header value": {"GET / HTTP/1.1\r\nHost: a\r\nX-A: b\x01c\r\n\r\n", http.StatusBadRequest},
		"large header":         {"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"slow header":          {"GET / HTTP/1.1\r\nHost: a\r\n", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			_, reader := s.open(t, test.text)
			response := requireResponse(t, reader, test.status, "")
			is.New(t).True(response.Close)
		})
	}
}

func TestGracefulShutdown(t *testing.T) {
	t.Run("draining closes the connection after the response", func(t *testing.T) {
		s := newTestServer(t, echo, Limits{})
		_, reader := s.open(t, get("/1"))
		requireResponse(t, reader, http.StatusOK, "/1 ")
		s.server.Drain()
		_, reader = s.open(t, get("/2"))
		response := requireResponse(t, reader, http.StatusOK, "/2 ")
		is.New(t).True(response.Close)
		requireEOF(t, reader)
	})
	t.Run("shutdown waits for a request in progress and closes idle connections", func(t *testing.T) {
		is := is.New(t)
		started, release := make(chan struct{}), make(chan struct{})
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(started)
				<-release
			}
			echo(w, r)
		}, Limits{})
		_, idle := s.open(t, get("/1"))
		requireResponse(t, idle, http.StatusOK, "/1 ")
		_, busy := s.open(t, get("/slow"))
		<-started
		var group errgroup.Group
		group.Go(func() error { return s.server.Shutdown(t.Context()) })
		requireEOF(t, idle)
		close(release)
		response := requireResponse(t, busy, http.StatusOK, "/slow ")
		is.True(response.Close)
		is.NoErr(group.Wait())
	})
	t.Run("shutdown stops waiting at its deadline", func(t *testing.T) {
		started := make(chan struct{})
		s := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
		}, Limits{})
		s.open(t, get("/1"))
		<-started
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		is.New(t).Equal(s.server.Shutdown(ctx), context.DeadlineExceeded)
	})
}

// Guards against responses that a caller on a slow link loses by a reset, because the connection is closed while the kernel
// still sends them and the caller's next request arrives.
func TestShutdownDeliversToSlowCaller(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("x", 256<<10)
	s := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, Limits{})
	conn, _ := s.open(t, "")
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(16 << 10))
	_, err := io.WriteString(conn, strings.Repeat(get("/1"), 4))
	is.NoErr(err)
	reader := bufio.NewReader(slowReader{conn})
	requireResponse(t, reader, http.StatusOK, large)
	var group errgroup.Group
	group.Go(func() error { return s.server.Shutdown(t.Context()) })
	for range 3 {
		_, _ = io.WriteString(conn, get("/2")) // crosses the end of the connection
		requireResponse(t, reader, http.StatusOK, large)
	}
	_ = conn.Close()
	is.NoErr(group.Wait())
}

// slowReader reads some 1.6 MB a second.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	<-time.After(5 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 8<<10)])
}

func TestIdleTimeout(t *testing.T) {
	s := newTestServer(t, echo, Limits{IdleTimeout: 50 * time.Millisecond})
	_, reader := s.open(t, get("/1"))
	requireResponse(t, reader, http.StatusOK, "/1 ")
	requireEOF(t, reader)
}

// Guards against an idle timeout that counts the time in which the caller waits for a response: its request is cancelled,
// or the connection is closed before the caller may expect it.
func TestIdleTimeoutCountsFromLastResponse(t *testing.T) {
	const idleTimeout = time.Second
	s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(idleTimeout + 100*time.Millisecond):
			echo(w, r)
		}
	}, Limits{IdleTimeout: idleTimeout})
	conn, reader := s.open(t, get("/1"))
	requireResponse(t, reader, http.StatusOK, "/1 ")
	<-time.After(idleTimeout / 4)
	_, err := io.WriteString(conn, get("/2"))
	is.New(t).NoErr(err)
	requireResponse(t, reader, http.StatusOK, "/2 ")
	requireEOF(t, reader)
}

// Guards against limits of an earlier configuration for the first request after it on a kept connection.
func TestLimitsChangeWhileIdle(t *testing.T) {
	const large = 16 << 10
	header := "GET /h HTTP/1.1\r\nHost: a.example\r\nX-A: " + strings.Repeat("a", large) + "\r\n\r\n"
	body := "POST /b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 16384\r\n\r\n" + strings.Repeat("a", large)
	for name, test := range map[string]struct {
		request       string
		before, after Limits
		status        int
	}{
		"header limit raised":  {header, Limits{HeaderBytes: 4096}, Limits{HeaderBytes: 2 * large}, http.StatusOK},
		"header limit lowered": {header, Limits{HeaderBytes: 2 * large}, Limits{HeaderBytes: 4096}, http.StatusRequestHeaderFieldsTooLarge},
		"body limit raised":    {body, Limits{BodyBytes: 4096}, Limits{BodyBytes: 2 * large}, http.StatusOK},
		"body limit lowered":   {body, Limits{BodyBytes: 2 * large}, Limits{BodyBytes: 4096}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			var limits atomic.Pointer[Limits]
			limits.Store(&test.before)
			s := newConfiguredServer(t, Config{Limits: func() Limits { return *limits.Load() }}, echo, Limits{})
			conn, reader := s.open(t, get("/1"))
			requireResponse(t, reader, http.StatusOK, "/1 ")
			<-time.After(50 * time.Millisecond) // until the server awaits the next request
			limits.Store(&test.after)
			_, err := io.WriteString(conn, test.request)
			is.New(t).NoErr(err)
			requireResponse(t, reader, test.status, "")
		})
	}
}
