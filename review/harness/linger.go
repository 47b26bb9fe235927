package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lingerClients = 12
	// listingBytes is the size of an answer, linkBytesPerSecond the speed of a client's link: 1.6 Mbit/s.
	listingBytes       = 100 << 10
	linkBytesPerSecond = 200_000
	// linkWindow is the receive buffer of a client.
	linkWindow      = 16 << 10
	listingTimeout  = 5 * time.Second
	listingDeadline = 8 * time.Second
	// pipelineInterval is the time between two requests of a client, pipelineDepth the most that it has unanswered.
	pipelineInterval = 300 * time.Millisecond
	pipelineDepth    = 4
)

// playLinger stops an entry by SIGTERM while clients on slow links pipeline requests. LOST is broken if a connection ends
// before the answer to a request that an upstream has run is complete.
func playLinger(r *record, hasTrouble bool) (bool, error) {
	w, err := newWorld(r, map[string]string{"quito-a": "sierra-norte"})
	if err != nil {
		return false, err
	}
	defer w.close()
	rt := route{
		name: "event-listing", prefix: "/listing/", kind: "idempotent", service: "fiestas", timeout: listingTimeout.String(), target: "2s", priority: 2,
	}
	w.putConfig(3, []route{rt}, []string{rt.service})
	text := strings.Repeat("ceremony\n", listingBytes/9)
	for range 8 {
		u := w.addUpstream(rt.service, "quito-a", 3, 200*time.Millisecond)
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
	var lost, answered int
	var mu sync.Mutex
	stop := make(chan struct{})
	for i := range lingerClients {
		clients.Go(func() {
			sleep(time.Duration(i) * pipelineInterval / lingerClients)
			c := &pipeliner{record: r, name: fmt.Sprintf("client %d", i+1), route: rt, stop: stop}
			c.play(w.entries[0].address(portFront))
			mu.Lock()
			defer mu.Unlock()
			lost, answered = lost+c.lost, answered+c.answered
		})
	}
	sleep(4 * time.Second)
	if hasTrouble {
		r.line("SIGTERM to %s", w.entries[0].name)
		w.entries[0].signal(syscall.SIGTERM)
	}
	sleep(grace)
	close(stop)
	clients.Wait()
	r.say("%d requests answered; %d lost that an upstream had run, with time left", answered, lost)
	return lost > 0, nil
}

// pipeliner is a client that sends further idempotent requests before the first is answered, and stops when an answer
// says that it closes the connection.
type pipeliner struct {
	record *record
	name   string
	route  route
	stop   <-chan struct{}

	mu         sync.Mutex
	unanswered []pipelined
	isLast     bool // no further request is sent
	answered   int
	lost       int
}

type pipelined struct {
	id string
	at time.Time
}

func (p *pipeliner) play(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		p.record.line("%s: %v", p.name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(linkWindow)
	var sender sync.WaitGroup
	sender.Go(func() {
		p.sendAll(conn)
	})
	err = p.readAll(bufio.NewReaderSize(&slowLink{conn}, 4096))
	endedAt := now()
	p.mu.Lock()
	p.isLast = true
	p.mu.Unlock()
	sender.Wait()
	p.record.line("%s: the connection ends: %v", p.name, err)
	for _, x := range p.unanswered {
		switch left := listingTimeout - endedAt.Sub(x.at); {
		case !p.record.hasRun(x.id):
			p.record.line("%s: %s counts as not read", p.name, x.id)
		case left <= 0:
			p.record.line("%s: %s was not answered at its timeout", p.name, x.id)
		default:
			p.lost++
			p.record.line("LOST     %s: run by an upstream, no complete answer, %s left of its timeout", x.id, left.Round(time.Millisecond))
		}
	}
}

func (p *pipeliner) sendAll(conn net.Conn) {
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-after(pipelineInterval):
		}
		p.mu.Lock()
		isLast, isFull := p.isLast, len(p.unanswered) >= pipelineDepth
		x := pipelined{id: newID(), at: now()}
		if !isLast && !isFull {
			p.unanswered = append(p.unanswered, x)
		}
		p.mu.Unlock()
		if isLast {
			return
		}
		if isFull {
			continue
		}
		p.record.line("sent     %s by %s", x.id, p.name)
		text := request{method: "GET", path: p.route.path(n % 24), host: hostName, id: x.id, key: strconv.Itoa(n % 24), deadline: listingDeadline}.text()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// readAll reads answers until the connection ends, or until none is due any more.
func (p *pipeliner) readAll(reader *bufio.Reader) error {
	for {
		p.mu.Lock()
		isOver := p.isLast && len(p.unanswered) == 0
		p.mu.Unlock()
		if isOver {
			return nil
		}
		if _, err := reader.Peek(1); errors.Is(err, errStopped) {
			return nil
		} else if err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.isLast = p.isLast || response.Close
		p.mu.Unlock()
		body, err := io.ReadAll(response.Body)
		id := response.Header.Get("X-Request-Id")
		p.record.line("%s: answer to %s: status %d, %d of %d bytes, closes %t, error %v",
			p.name, id, response.StatusCode, len(body), response.ContentLength, response.Close, err)
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.unanswered = p.unanswered[1:]
		p.answered++
		p.mu.Unlock()
		if response.Close {
			return nil
		}
	}
}

// slowLink reads at linkBytesPerSecond.
type slowLink struct{ conn net.Conn }

var errStopped = errors.New("the client has stopped")

// Read implements io.Reader.
func (s *slowLink) Read(p []byte) (int, error) {
	_ = s.conn.SetReadDeadline(now().Add(3 * time.Second))
	n, err := s.conn.Read(p[:min(len(p), 4096)])
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return n, errStopped
	}
	sleep(time.Duration(n) * time.Second / linkBytesPerSecond)
	return n, err
}
