package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sync/errgroup"
)

const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 8 << 10
	// interimResponse asks the caller for the body of a request.
	interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

var (
	errHeaderTooLarge = errors.New("request header exceeds the size limit")
	errInvalidHeader  = errors.New("invalid header")
)

// connection is a caller's connection. One goroutine reads requests, one writes responses in order, and each request is
// handled in a goroutine of its own.
type connection struct {
	server  *Server
	conn    net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	pending chan *exchange

	mu sync.Mutex
	// unanswered counts the requests read but not yet answered.
	unanswered int
	// closing is set when no further requests are accepted.
	closing bool
	// awaitsAnswer is set while admit reads ahead until a request is answered.
	awaitsAnswer bool
	answered     chan struct{} // receives a value when a request is answered
	// awaitsRequest is set while the first byte of a request is awaited, for idleTimeout at most, or without limit while
	// earlier requests are unanswered.
	awaitsRequest bool
	idleTimeout   time.Duration

	// requestStart is the position at which the request being read starts.
	requestStart int64
}

// exchange is a request and its response; request is nil if it could not be read. An interim one stands for the response
// that asks for a request's body, in the place of the responses' order at which the caller expects it.
type exchange struct {
	isInterim bool
	request   *http.Request
	response  *responseBuffer
	done      chan struct{}
	isLast    bool
}

func newConnection(ctx context.Context, r *Server, conn net.Conn) *connection {
	// Each pending request and the one being read may have an interim response.
	c := &connection{server: r, conn: conn, pending: make(chan *exchange, 2*maxPending+1), answered: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.limited = &limitedReader{conn: conn}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	return c
}

// serve handles the connection and returns when it is closed and all handlers have returned.
func (c *connection) serve() {
	defer c.cancel()
	defer func() { _ = c.conn.Close() }()
	var handlers errgroup.Group
	var writer errgroup.Group
	writer.Go(func() error {
		c.write()
		return nil
	})
	c.read(&handlers)
	close(c.pending)
	_ = handlers.Wait()
	_ = writer.Wait()
	c.linger()
}

// read reads requests and starts their handlers until the caller disconnects or the last request is read.
func (c *connection) read(handlers *errgroup.Group) {
	for {
		response := newResponseBuffer()
		request, rejected := c.readRequest(response)
		if request == nil && rejected == nil {
			response.written()
			c.cancel() // the caller has disconnected or was idle for too long
			return
		}
		x := &exchange{request: request, response: response, done: make(chan struct{}), isLast: rejected != nil}
		if !c.admit(x) {
			response.written()
			c.discardInput()
			return
		}
		if rejected != nil {
			c.recordRejection(rejected)
			if rejected.status == http.StatusServiceUnavailable {
				x.response.Header().Set("Retry-After", noBufferRetryAfter)
			}
			x.response.WriteHeader(rejected.status)
			close(x.done)
			c.pending <- x
			c.discardInput()
			return
		}
		c.pending <- x
		handlers.Go(func() error {
			defer close(x.done)
			c.server.config.Handler.ServeHTTP(x.response, x.request)
			return nil
		})
		if x.isLast {
			c.discardInput()
			return
		}
	}
}

// admit sets isLast, waits until the request may be handled and counts it as unanswered. A request that may not run
// concurrently with others waits until all earlier ones are answered; any request waits while maxPending are
// unanswered. It returns false if the connection is closing or the caller has disconnected.
func (c *connection) admit(x *exchange) bool {
	if x.request != nil {
		x.isLast = x.isLast || x.request.Close || !x.request.ProtoAtLeast(1, 1) || c.server.draining.Load()
	}
	maxUnanswered := maxPending - 1
	if x.request != nil && !c.server.config.AllowConcurrent(x.request) {
		maxUnanswered = 0
	}
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return false
		}
		if c.unanswered <= maxUnanswered {
			c.unanswered++
			c.closing = x.isLast
			c.mu.Unlock()
			return true
		}
		c.awaitsAnswer = true
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		if !c.awaitAnswer() {
			c.cancel()
			return false
		}
	}
}

// awaitAnswer returns true when a request has been answered. Until then it reads ahead, as far as the buffer allows, to
// detect a disconnect, on which it returns false. The caller must have set awaitsAnswer.
func (c *connection) awaitAnswer() bool {
	for c.reader.Buffered() < c.reader.Size() {
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return isTimeout(err) // markAnswered has expired the read deadline
		}
	}
	select {
	case <-c.answered:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// readRequest reads a request with its body. If it fails, the request is nil and the rejection is the answer, or nil if
// the caller has disconnected or was idle for too long. The buffer space of the body is reserved until the response is
// written.
func (c *connection) readRequest(response *responseBuffer) (*http.Request, *rejection) {
	c.requestStart = c.position()
	c.limited.setLimit(math.MaxInt64)
	if err := c.awaitRequest(c.server.config.Limits().IdleTimeout); err != nil {
		return nil, nil
	}
	limits := c.server.config.Limits() // those in force may have changed while the connection was idle
	if limits.HeaderBytes > 0 {
		c.limited.setLimit(int64(limits.HeaderBytes))
	}
	c.setReadDeadline(limits.HeaderTimeout)
	request, err := http.ReadRequest(c.reader)
	err = c.readError(err)
	c.limited.setLimit(math.MaxInt64)
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return nil, &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeaderTooLarge, err: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &rejection{status: http.StatusRequestTimeout, reason: reasonHeaderTimeout, err: err}
	case err != nil && isDisconnected(err):
		return nil, nil
	case err != nil:
		return nil, &rejection{status: http.StatusBadRequest, reason: reasonBadRequest, err: err}
	}
	if err := checkHeader(request); err != nil {
		return nil, &rejection{status: http.StatusBadRequest, reason: reasonInvalidHeader, err: err, request: request}
	}
	return c.readBody(request, response, limits.BodyBytes)
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest(idleTimeout time.Duration) error {
	c.mu.Lock()
	c.awaitsRequest, c.idleTimeout = true, idleTimeout
	c.mu.Unlock()
	c.restartIdleTimeout()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	c.awaitsRequest = false
	c.mu.Unlock()
	return err
}

// restartIdleTimeout restarts the idle timeout, or suspends it while requests are unanswered.
func (c *connection) restartIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.awaitsRequest:
	case c.unanswered > 0:
		c.setReadDeadlineLocked(0)
	default:
		c.setReadDeadlineLocked(c.idleTimeout)
	}
}

// position returns the number of bytes consumed from the connection.
func (c *connection) position() int64 { return c.limited.bytesRead - int64(c.reader.Buffered()) }

// readError returns the error of the connection that made a parser fail with err. Parsers of lines and trailers hide it:
// they take what came before it for the whole.
func (c *connection) readError(err error) error {
	if err != nil && c.limited.err != nil {
		return c.limited.err
	}
	return err
}

func isDisconnected(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// checkHeader checks the Host header and the header fields, which http.ReadRequest does not.
func checkHeader(request *http.Request) error {
	if request.Host == "" && request.ProtoAtLeast(1, 1) || !httpguts.ValidHostHeader(request.Host) {
		return fmt.Errorf("%w: host %q", errInvalidHeader, request.Host)
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", errInvalidHeader, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value of field %s", errInvalidHeader, name)
			}
		}
	}
	return nil
}

// discardInput reads and discards input after the last request, to detect a disconnect and to consume late requests. The
// end of the input, or an error other than a timeout, cancels the requests in progress.
func (c *connection) discardInput() {
	c.setReadDeadline(0)
	if _, err := io.Copy(io.Discard, c.reader); !isTimeout(err) {
		c.cancel()
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// write writes responses in the order of their requests. The last one has the header Connection: close. Nothing else writes
// to the connection: its bytes would get between those of a response.
func (c *connection) write() {
	writer := bufio.NewWriterSize(c.conn, writeBufferBytes)
	hasEnded := false
	for x := range c.pending {
		if x.isInterim {
			hasEnded = hasEnded || !c.send(writer, writeInterim)
			continue
		}
		<-x.done
		isLast := c.markAnswered()
		hasEnded = hasEnded || isLast
		if x.response.status == 0 && c.ctx.Err() != nil {
			// The handler has given up a cancelled request.
			x.response.written()
			_ = c.conn.Close()
			continue
		}
		isSent := c.send(writer, x.response.httpResponse(x.request, isLast).Write)
		x.response.written()
		if !isSent {
			continue
		}
		if isLast {
			c.halfClose()
		}
		c.restartIdleTimeout()
	}
}

func writeInterim(w io.Writer) error {
	_, err := io.WriteString(w, interimResponse)
	return err
}

// send writes to the caller and reports whether that succeeded. If it fails, it closes the connection and cancels its requests.
func (c *connection) send(writer *bufio.Writer, write func(io.Writer) error) bool {
	_ = c.conn.SetWriteDeadline(c.server.config.Clock.Now().Add(writeTimeout))
	err := write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		c.cancel()
		_ = c.conn.Close()
	}
	return err == nil
}

// markAnswered counts a request as answered and reports whether its response is the last one of the connection.
func (c *connection) markAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	if c.awaitsAnswer {
		c.awaitsAnswer = false
		_ = c.conn.SetReadDeadline(c.server.config.Clock.Now())
	}
	select {
	case c.answered <- struct{}{}:
	default:
	}
	return c.closing && c.unanswered == 0
}

// halfClose closes the sending side and stops reading after lingerTimeout.
func (c *connection) halfClose() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(c.server.config.Clock.Now().Add(lingerTimeout))
}

// stop rejects further requests and closes an idle connection by expiring its read deadline.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.unanswered == 0 {
		_ = c.conn.SetReadDeadline(c.server.config.Clock.Now())
	}
}

func (c *connection) setReadDeadline(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(after)
}

// setReadDeadlineLocked must be called with c.mu held. Zero means no deadline.
func (c *connection) setReadDeadlineLocked(after time.Duration) {
	if c.closing && c.unanswered == 0 {
		return // keep the deadline set by stop or halfClose
	}
	deadline := time.Time{}
	if after > 0 {
		deadline = c.server.config.Clock.Now().Add(after)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// limitedReader fails with errHeaderTooLarge after a number of bytes.
type limitedReader struct {
	conn      net.Conn
	remaining int64
	bytesRead int64
	// err is the error of a Read since the limit was set.
	err error
}

func (r *limitedReader) setLimit(bytes int64) { r.remaining, r.err = bytes, nil }

// Read reads at most the remaining number of bytes. It implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.err = errHeaderTooLarge
		return 0, r.err
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	r.bytesRead += int64(n)
	if err != nil {
		r.err = err
	}
	return n, err
}
