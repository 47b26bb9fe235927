package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in for a server. It answers one request at a time on a connection.
type upstream struct {
	deployment  *deployment
	id, service string
	zone        string
	address     string
	slots       int
	work        time.Duration
	born        int64
	// lines is the number of lines of an answer.
	lines int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	// spoil writes a spoilt answer to some requests; nil for none.
	spoil    func(conn net.Conn, u *upstream, id string) bool
	sequence int
	hasEnded bool
}

// addUpstream starts an upstream and registers it in the store.
func (d *deployment) addUpstream(service, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{
		deployment: d, id: fmt.Sprintf("i-%s-%d", service, len(d.servers)+1), service: service, zone: zone, slots: slots, work: work,
		address: address(d.nextIP(), upstreamPort), born: now().UnixMilli(), lines: 1, conns: make(map[net.Conn]bool),
	}
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	u.listener = listener
	d.servers = append(d.servers, u)
	d.group.Go(u.accept)
	u.register("ready")
	return u, nil
}

// register writes the upstream's entry and returns the time of its ack.
func (u *upstream) register(state string) time.Time {
	u.mu.Lock()
	u.sequence++
	sequence := u.sequence
	u.mu.Unlock()
	u.deployment.record.line("store: %s is %s", u.id, state)
	return u.deployment.store.write("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"cold_remaining": "0ms", "sequence": sequence, "born": u.born,
	})
}

// exit ends the upstream and breaks off what it is at work on.
func (u *upstream) exit() {
	u.mu.Lock()
	u.hasEnded = true
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.Close()
	}
	u.mu.Unlock()
	u.deployment.store.erase("servers", u.id)
	u.deployment.record.line("%s has ended", u.id)
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		u.deployment.group.Go(func() { u.serve(conn) })
	}
}

func (u *upstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !u.handle(conn, request, body) {
			return
		}
	}
}

// handle runs a request and reports whether the connection stays open.
func (u *upstream) handle(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Load: %d,0,%d\r\n", id, u.load(), u.slots)
	if request.Header.Get("X-Expect-Instance") != u.id {
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Instance-Id: "+u.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	u.enter(1)
	defer u.enter(-1)
	u.deployment.recordRun(id, u.id)
	u.deployment.record.line("run      %s %s %s at %s, %d bytes", id, request.Method, request.URL, u.id, len(body))
	sleep(u.work)
	if spoil := u.spoiler(); spoil != nil && spoil(conn, u, id) {
		return false
	}
	text := u.answer(id)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"X-Server-Stamp: "+u.id+"."+id+"\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
	if err == nil {
		u.deployment.record.line("answered %s by %s", id, u.id)
	}
	return err == nil
}

// answer returns the body of the answer to a request.
func (u *upstream) answer(id string) string {
	return strings.Repeat("done by "+u.id+": "+id+"\n", u.lines)
}

func (u *upstream) setSpoil(spoil func(conn net.Conn, u *upstream, id string) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spoil = spoil
}

func (u *upstream) spoiler() func(conn net.Conn, u *upstream, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spoil
}

func (u *upstream) enter(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += change
}

func (u *upstream) load() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}
