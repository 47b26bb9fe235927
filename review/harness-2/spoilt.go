package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	spoiltUpstreams = 10
	// spoiltShare is the share of the upstreams in trouble, spoiltAnswers the share of their answers that they spoil: the
	// doses of garble in salones-te.
	spoiltShare   = 0.6
	spoiltAnswers = 0.03
	spoiltWork    = 20 * time.Millisecond
	spoiltClients = 16
	// spoiltFor is the time for which clients send, and for which garble lasts there.
	spoiltFor = 5500 * time.Millisecond
	// spoiltLines is the number of lines of a sound answer.
	spoiltLines = 40
)

// spoiltKind is a way in which an upstream in trouble spoils an answer.
type spoiltKind string

const (
	// brokenHeader has a length in a line that is no header field, and breaks off midway.
	brokenHeader spoiltKind = "broken_header"
	// chunkedOld has a body in chunks in HTTP/1.0, which has none.
	chunkedOld spoiltKind = "chunked_old"
	// noReceipt lacks the receipt.
	noReceipt spoiltKind = "no_receipt"
)

var spoiltKinds = []spoiltKind{brokenHeader, chunkedOld, noReceipt}

// spoiltAnswersSent holds the kinds of the spoilt answers by request.
type spoiltAnswersSent struct {
	mu    sync.Mutex
	kinds map[string]spoiltKind
}

func (s *spoiltAnswersSent) kindOf(id string) spoiltKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[id]
}

// write writes a spoilt answer to some requests, after which the connection ends, and reports whether it did.
func (s *spoiltAnswersSent) write(conn net.Conn, u *upstream, id string) bool {
	if rand.Float64() >= spoiltAnswers {
		return false
	}
	kind := spoiltKinds[rand.IntN(len(spoiltKinds))]
	s.mu.Lock()
	s.kinds[id] = kind
	s.mu.Unlock()
	text := u.answer(id)
	head, receipt, length := "X-Request-Id: "+id+"\r\n", "X-Server-Stamp: "+u.id+"."+id+"\r\n", strconv.Itoa(len(text))
	answer := ""
	switch kind {
	case brokenHeader:
		answer = "HTTP/1.1 200 OK\r\n" + head + receipt + "Content-Length : " + length + "\r\n\r\n" + text[:len(text)/2]
	case chunkedOld:
		answer = "HTTP/1.0 200 OK\r\n" + head + receipt + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	case noReceipt:
		answer = "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + length + "\r\n\r\n" + text
	}
	u.deployment.record.line("spoilt   %s by %s: %s", id, u.id, kind)
	_, _ = io.WriteString(conn, answer)
	return true
}

// playSpoilt lets upstreams in trouble spoil some of their answers, each so that the protocol tells that it is spoilt. MIXED is
// broken if a client gets a success without the receipt, or with a body that isn't the upstream's whole body.
func playSpoilt(r *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	seat := route{
		name: "seat-confirm", prefix: "/seat/", kind: "non_idempotent", service: "reservas",
		timeout: 1200 * time.Millisecond, target: 600 * time.Millisecond, priority: 1,
	}
	d.putConfig(3, seat)
	answers := &spoiltAnswersSent{kinds: make(map[string]spoiltKind)}
	for i := range spoiltUpstreams {
		u, err := d.addUpstream("reservas", "quito-a", 3, spoiltWork)
		if err != nil {
			return false, err
		}
		u.lines = spoiltLines
		if hasTrouble && float64(i) < spoiltShare*spoiltUpstreams {
			u.setSpoil(answers.write)
		}
	}
	for range 2 {
		d.addEntry("quito-a")
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	sleep(stableWindow)
	var clients sync.WaitGroup
	var sound, failed atomic.Int64
	var mu sync.Mutex
	wrong := make(map[spoiltKind]int)
	until := now().Add(spoiltFor)
	for i := range spoiltClients {
		clients.Go(func() {
			for since(until) < 0 {
				id := newID()
				r.line("sent     %s", id)
				got, err := sendOnce(address(d.entries[i%2].ip, frontPort), attempt{
					method: "POST", path: seat.prefix + strconv.Itoa(i), id: id, key: strconv.Itoa(rand.IntN(24)), body: "two seats", deadline: 4 * time.Second,
				})
				r.line("client   %s: status %d, stamp %q, %d bytes, error %v", id, got.status, got.stamp, len(got.body), err)
				switch {
				case err != nil || got.status != 200:
					failed.Add(1)
				case got.id == id && strings.HasSuffix(got.stamp, id) && isWhole(d, id, got.body):
					sound.Add(1)
				default:
					kind := answers.kindOf(id)
					mu.Lock()
					wrong[kind]++
					mu.Unlock()
					r.line("MIXED    %s: success with stamp %q and %d bytes that aren't the upstream's body; the answer was %s: %.60q",
						id, got.stamp, len(got.body), kind, got.body)
				}
			}
		})
	}
	clients.Wait()
	r.say("%d sound successes, %d failures; spoilt answers that clients got as a success: %v", sound.Load(), failed.Load(), wrong)
	return len(wrong) > 0, nil
}

// isWhole reports whether the body is that of the upstream that has run the request.
func isWhole(d *deployment, id, body string) bool {
	for _, each := range d.runsOf(id) {
		for _, u := range d.servers {
			if u.id == each.upstream && u.answer(id) == body {
				return true
			}
		}
	}
	return false
}
