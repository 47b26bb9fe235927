package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	expectClients = 12
	expectFor     = 15 * time.Second
	// menuBytes is the size of an answer.
	menuBytes = 100 << 10
	// expectDepth is the number of requests that a client sends on a connection without waiting.
	expectDepth = 8
	// bodyDelay is the time after which a client sends the body though no 100 has come.
	bodyDelay = 5 * time.Millisecond
	// menuWindow is the receive buffer of a client.
	menuWindow   = 16 << 10
	menuDeadline = 8 * time.Second
)

// playExpect lets clients pipeline idempotent requests, of which every other one has a body and, with trouble, the header
// Expect: 100-continue. MIXED is broken if a client gets a success whose body isn't the upstream's.
func playExpect(r *record, hasTrouble bool) (bool, error) {
	w, err := newWorld(r, map[string]string{"quito-a": "sierra-norte"})
	if err != nil {
		return false, err
	}
	defer w.close()
	rt := route{name: "menu", prefix: "/menu/", kind: "idempotent", service: "reservas", timeout: "5s", target: "2s", priority: 0}
	w.putConfig(3, []route{rt}, []string{rt.service})
	text := strings.Repeat("green tea, 4 dollars\n", menuBytes/21)
	for range 8 {
		u := w.addUpstream(rt.service, "quito-a", 24, 5*time.Millisecond)
		u.body = text
		if err := u.start(); err != nil {
			return false, err
		}
	}
	for range 2 {
		w.addEntry("quito-a")
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var whole, spoilt, other atomic.Int64
	until := now().Add(expectFor)
	for i := range expectClients {
		clients.Go(func() {
			for since(until) < 0 {
				c := &menuClient{record: r, route: rt, text: text, expects: hasTrouble, whole: &whole, spoilt: &spoilt, other: &other}
				c.play(w.entries[i%2].address(portFront))
			}
		})
	}
	clients.Wait()
	r.say("%d whole successes, %d with a body that isn't the upstream's, %d other answers", whole.Load(), spoilt.Load(), other.Load())
	return spoilt.Load() > 0, nil
}

// menuClient is a client with one connection.
type menuClient struct {
	record               *record
	route                route
	text                 string
	expects              bool
	whole, spoilt, other *atomic.Int64
}

func (m *menuClient) play(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(menuWindow)
	_ = conn.SetDeadline(now().Add(menuDeadline))
	var ids []string
	for range expectDepth {
		ids = append(ids, newID())
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	sender.Go(func() { m.sendAll(conn, ids) })
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		if !m.read(reader, id) {
			return
		}
	}
}

// sendAll sends all requests, every other one with a body.
func (m *menuClient) sendAll(conn net.Conn, ids []string) {
	for i, id := range ids {
		head := request{method: "GET", path: m.route.path(i), host: hostName, id: id, deadline: menuDeadline}.text()
		body := ""
		if i%2 == 1 {
			body = "green"
			head = fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
				m.route.path(i), hostName, id, menuDeadline.Milliseconds(), len(body))
			if m.expects {
				head += "Expect: 100-continue\r\n"
			}
			head += "\r\n"
		}
		m.record.line("sent     %s", id)
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		if body == "" {
			continue
		}
		sleep(bodyDelay)
		if _, err := io.WriteString(conn, body); err != nil {
			return
		}
	}
}

// read reads the answer to the request and reports whether more can be read.
func (m *menuClient) read(reader *bufio.Reader, id string) bool {
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			m.other.Add(1)
			m.record.line("client   %s: no answer: %v", id, err)
			return false
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(response.Body)
		switch {
		case err != nil || response.StatusCode != http.StatusOK:
			m.other.Add(1)
			m.record.line("client   %s: status %d, error %v", id, response.StatusCode, err)
			return err == nil
		case string(body) == m.text && response.Header.Get("X-Request-Id") == id:
			m.whole.Add(1)
			m.record.line("client   %s: status %d, whole", id, response.StatusCode)
			return true
		}
		m.spoilt.Add(1)
		at := 0
		for at < len(body) && body[at] == m.text[at] {
			at++
		}
		m.record.say("MIXED    %s: status %d of %s, %d bytes; from byte %d on not the upstream's body: %q",
			id, response.StatusCode, response.Header.Get("X-Request-Id"), len(body), at, body[at:min(at+40, len(body))])
		return false
	}
}
