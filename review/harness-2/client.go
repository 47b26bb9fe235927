package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

var idCount atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), idCount.Add(1)) }

// attempt is one client attempt.
type attempt struct {
	method, path, id, key, body string
	deadline                    time.Duration
}

func (a attempt) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "X-Affinity-Key: %s\r\n", a.key)
	}
	if a.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	return b.String()
}

// response is what a client gets.
type response struct {
	status    int
	id, stamp string
	header    http.Header
	body      string
	isLast    bool
}

// kept is a client's connection.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*kept, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (k *kept) do(a attempt) (response, error) {
	_ = k.conn.SetDeadline(now().Add(a.deadline))
	if _, err := io.WriteString(k.conn, a.text()); err != nil {
		return response{}, err
	}
	return k.read(a.method)
}

func (k *kept) read(method string) (response, error) {
	got, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(got.Body)
	return response{
		status: got.StatusCode, id: got.Header.Get("X-Request-Id"), stamp: got.Header.Get("X-Server-Stamp"),
		header: got.Header, body: string(body), isLast: got.Close,
	}, err
}

// sendOnce sends one attempt on a connection of its own.
func sendOnce(address string, a attempt) (response, error) {
	k, err := dial(address)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = k.conn.Close() }()
	return k.do(a)
}
