package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, path, host, id, key string
	body                        string
	deadline                    time.Duration
}

// answer is what a client gets.
type answer struct {
	status     int
	id, stamp  string
	body       string
	retryAfter string
	isLast     bool
}

var (
	// errClosed reports a connection that ended without a complete answer.
	errClosed = errors.New("closed without an answer")
	// errLate reports that the client's time was over.
	errLate = errors.New("no answer in the client's time")
)

var requestCount atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), requestCount.Add(1)) }

// connection is a client's connection, kept for many requests.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// do sends a request and reads its answer.
func (c *connection) do(r request) (answer, error) {
	c.sent++
	_ = c.conn.SetDeadline(now().Add(r.deadline))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		return answer{}, asClientError(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{}, asClientError(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, asClientError(err)
	}
	return answer{
		status: response.StatusCode, id: response.Header.Get("X-Request-Id"), stamp: response.Header.Get("X-Server-Stamp"),
		body: string(body), retryAfter: response.Header.Get("Retry-After"), isLast: response.Close,
	}, nil
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, r.host)
	if r.id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.id, r.deadline.Milliseconds())
	}
	if r.key != "" {
		fmt.Fprintf(&b, "X-Affinity-Key: %s\r\n", r.key)
	}
	if r.body != "" || r.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

func asClientError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errLate
	}
	return fmt.Errorf("%w: %w", errClosed, err)
}

// send sends one request on a connection of its own.
func send(address string, r request) (answer, error) {
	c, err := dial(address)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	return c.do(r)
}
