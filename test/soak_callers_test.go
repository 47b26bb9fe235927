package test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	soakHost     = "soak.example"
	soakTimeout  = 2500 * time.Millisecond
	soakAttempts = 2
	// soakPatience is when a caller gives up, after the system should have.
	soakPatience = 4 * time.Second
	// soakIdle is how long callers keep idle connections.
	soakIdle = 3 * time.Second
	// lookupEvery is how long callers keep a look-up.
	lookupEvery = time.Second
	soakObjects = 20
)

// soakRecord is what a caller saw of one request.
type soakRecord struct {
	id, entry    string
	incarnation  int
	isIdempotent bool
	began, ended time.Time
	status       int
	// isBackends tells that the answer is an upstream's.
	isBackends bool
	// err is set where no whole answer came.
	err error
	// fault is what is wrong with the answer by itself.
	fault string
}

// callers send requests to the entries that look-ups name.
type callers struct {
	fleet  *fleet
	nextID atomic.Uint64

	mu      sync.Mutex
	records []soakRecord
}

// run is one caller, which keeps its connections open.
func (c *callers) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: soakIdle}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: soakPatience}
	var known []*soakEntry
	var asked time.Time
	for ctx.Err() == nil {
		if time.Since(asked) > lookupEvery || len(known) == 0 {
			known, asked = c.lookUp(client, random, known), time.Now()
		}
		if len(known) == 0 {
			<-time.After(50 * time.Millisecond)
			continue
		}
		record, retryAfter := c.send(client, random, known[random.IntN(len(known))])
		if record.err != nil {
			known = nil // a caller leaves out what has failed and asks again
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retryAfter, time.Duration(random.IntN(30))*time.Millisecond)):
		}
	}
}

// lookUp asks some entries where to connect, and keeps what it knows if none answers.
func (c *callers) lookUp(client *http.Client, random *rand.Rand, known []*soakEntry) []*soakEntry {
	for range 3 {
		asked := c.fleet.entries[random.IntN(len(c.fleet.entries))]
		answer, err := outgoing{
			base: "http://" + asked.ports["directory"], method: http.MethodGet, path: "/resolve?name=" + soakHost + "&region=" + regionOf(asked.zone) + "&zone=" + asked.zone,
		}.send(&http.Client{Transport: client.Transport, Timeout: time.Second})
		var found struct {
			Addresses []string `json:"addresses"`
		}
		if err != nil || answer.status != http.StatusOK || json.Unmarshal(answer.body, &found) != nil {
			continue
		}
		var entries []*soakEntry
		for _, e := range c.fleet.entries {
			for _, address := range found.Addresses {
				if e.ports["front"] == address {
					entries = append(entries, e)
				}
			}
		}
		return entries
	}
	return known
}

// send sends one request of a random kind through the entry's link and records what came of it.
func (c *callers) send(client *http.Client, random *rand.Rand, e *soakEntry) (soakRecord, time.Duration) {
	path, method := "/s/", http.MethodGet
	switch n := random.IntN(10); {
	case n < 4:
		path, method = "/p/", http.MethodPost
	case n < 6:
		path = "/t/"
	}
	key := strconv.Itoa(random.IntN(soakObjects))
	return c.exchange(client, "http://"+e.front.address(), method, path, key, time.Duration(5+random.IntN(55))*time.Millisecond, e)
}

func (c *callers) exchange(client *http.Client, base, method, path, key string, work time.Duration, e *soakEntry) (soakRecord, time.Duration) {
	record := soakRecord{
		id: fmt.Sprint("r", c.nextID.Add(1)), entry: e.name, incarnation: e.incarnation(), isIdempotent: method == http.MethodGet, began: time.Now(),
	}
	request := outgoing{base: base, method: method, host: soakHost, path: path + record.id, header: http.Header{}}
	request.header.Set("X-Request-Id", record.id)
	request.header.Set("X-Affinity-Key", key)
	request.header.Set("X-Deadline-Ms", strconv.FormatInt((soakPatience-time.Second).Milliseconds(), 10))
	request.header.Set("X-Standin-Work", work.String())
	want := fmt.Appendf(nil, "%s %s\n", method, request.path)
	if method == http.MethodPost {
		request.body = bytes.Repeat([]byte(record.id+"."), 50)
		want = request.body
	}
	answer, err := request.send(client)
	record.ended, record.status, record.err = time.Now(), answer.status, err
	if err == nil {
		record.isBackends = answer.header.Get("X-Standin-Id") != ""
		record.fault = faultOf(record, answer, want)
	}
	c.mu.Lock()
	c.records = append(c.records, record)
	c.mu.Unlock()
	seconds, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return record, min(time.Duration(seconds*float64(time.Second)), time.Second)
}

// faultOf tells what is wrong with an answer by itself.
func faultOf(record soakRecord, answer incoming, want []byte) string {
	switch {
	case record.isBackends:
		return ownAnswer(answer, record.id, want)
	case answer.status < http.StatusMultipleChoices:
		return fmt.Sprintf("success %d that no backend gave", answer.status)
	case isPromised(answer.status) && answer.status != http.StatusMisdirectedRequest && answer.header.Get("Retry-After") == "" && answer.status != http.StatusRequestTimeout:
		return fmt.Sprintf("status %d without Retry-After", answer.status)
	default:
		return ""
	}
}

// isPromised tells whether the status says that the request has not run and never will.
func isPromised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// versionProbe watches which configuration one entry has in force.
type versionProbe struct {
	callers  *callers
	entry    *soakEntry
	troubles *troubles
}

// run asks for the route that only the latest version has, and returns what was wrong.
func (p versionProbe) run(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: soakPatience}
	var faults []error
	seen, seenIn := 0, 0
	for ctx.Err() == nil {
		latest, began, incarnation := p.callers.fleet.latest(), time.Now(), p.entry.incarnation()
		record, _ := p.callers.exchange(client, "http://"+p.entry.ports["front"], http.MethodGet, versionPath(latest.version), "0", time.Millisecond, p.entry)
		isIn := record.err == nil && record.status != http.StatusNotFound
		hasNone := record.err == nil && record.status == http.StatusNotFound && p.callers.fleet.isLatest(latest.version)
		switch {
		case isIn && (record.isBackends || record.status != http.StatusServiceUnavailable):
			seen, seenIn = latest.version, incarnation
		case hasNone && seen == latest.version && seenIn == incarnation && p.entry.incarnation() == incarnation:
			faults = append(faults, fmt.Errorf("%s went back from version %d (request %s)", p.entry.name, latest.version, record.id))
		case hasNone && began.Sub(latest.at) > soakConfig && !p.troubles.touched(p.entry.name, began, record.ended, true):
			faults = append(faults, fmt.Errorf("%s has not version %d in force after %s (request %s)", p.entry.name, latest.version, began.Sub(latest.at), record.id))
		}
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
	return errors.Join(faults...)
}
