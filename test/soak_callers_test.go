package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

const (
	soakHost = "soak.example"
	// soakTimeout and soakAttempts are the timeout and the maximum number of attempts of each route.
	soakTimeout  = 2500 * time.Millisecond
	soakAttempts = 2
	// soakClientTimeout is the timeout of a request at the caller. It exceeds the route's timeout, so that the entry
	// gives up first.
	soakClientTimeout = 4 * time.Second
	// soakIdleTimeout is how long callers keep idle connections open.
	soakIdleTimeout = 3 * time.Second
	// lookupInterval is how long callers cache the result of a lookup.
	lookupInterval   = time.Second
	soakAffinityKeys = 20
)

// soakRecord is the result of one request as its caller sees it.
type soakRecord struct {
	id, entry    string
	path         string
	incarnation  int
	isIdempotent bool
	began, ended time.Time
	status       int
	// fromBackend reports whether a backend sent the response.
	fromBackend bool
	// endlessFrom is the backend whose endless response was taken for a complete one; empty for none.
	endlessFrom string
	// err is set if no complete response was received.
	err error
	// violation describes what is wrong with the response itself, or is empty.
	violation string
}

// soakCallers sends requests to the entries that lookups return, and records the results.
type soakCallers struct {
	fleet  *soakFleet
	nextID atomic.Uint64

	mu      sync.Mutex
	records []soakRecord
	// floods are the requests of the team that is beyond its quota.
	floods []soakRecord
}

// run sends requests as one caller, on persistent connections, until ctx is done.
func (c *soakCallers) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: soakIdleTimeout}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: soakClientTimeout}
	var known []*soakEntry
	var lastLookup time.Time
	for ctx.Err() == nil {
		if time.Since(lastLookup) > lookupInterval || len(known) == 0 {
			known, lastLookup = c.lookUp(client, random, known), time.Now()
		}
		if len(known) == 0 {
			<-time.After(50 * time.Millisecond)
			continue
		}
		record, retryAfter := c.send(client, random, known[random.IntN(len(known))])
		if record.err != nil {
			known = nil // after a failure a caller discards its entries and looks them up again
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retryAfter, time.Duration(random.IntN(30))*time.Millisecond)):
		}
	}
}

// lookUp asks up to three random entries which entries to use. It returns the known ones if none of them answers.
func (c *soakCallers) lookUp(client *http.Client, random *rand.Rand, known []*soakEntry) []*soakEntry {
	for range 3 {
		queried := c.fleet.entries[random.IntN(len(c.fleet.entries))]
		response, err := callRequest{
			base: "http://" + queried.addresses["directory"], method: http.MethodGet, path: "/resolve?name=" + soakHost + "&region=" + regionOf(queried.zone) + "&zone=" + queried.zone,
		}.send(&http.Client{Transport: client.Transport, Timeout: time.Second})
		var found struct {
			Addresses []string `json:"addresses"`
		}
		if err != nil || response.status != http.StatusOK || json.Unmarshal(response.body, &found) != nil {
			continue
		}
		var entries []*soakEntry
		for _, e := range c.fleet.entries {
			for _, address := range found.Addresses {
				if e.addresses["front"] == address {
					entries = append(entries, e)
				}
			}
		}
		return entries
	}
	return known
}

// send sends one random request through the entry's link and records the result. It also returns the time to wait
// before the next request.
func (c *soakCallers) send(client *http.Client, random *rand.Rand, e *soakEntry) (soakRecord, time.Duration) {
	path, method := "/s/", http.MethodGet
	switch n := random.IntN(10); {
	case n < 4:
		path, method = "/p/", http.MethodPost
	case n < 6:
		path = "/t/"
	}
	key := strconv.Itoa(random.IntN(soakAffinityKeys))
	return c.exchange(client, "http://"+e.callerLink.address(), method, path, key, time.Duration(5+random.IntN(55))*time.Millisecond, e)
}

// exchange sends one request with the credential that all versions have, records the result, and returns it with the delay in
// Retry-After, at most 1 s.
func (c *soakCallers) exchange(client *http.Client, base, method, path, key string, work time.Duration, e *soakEntry) (soakRecord, time.Duration) {
	record, retryAfter := c.exchangeWith(soakCredential, client, base, method, path, key, work, e)
	c.mu.Lock()
	c.records = append(c.records, record)
	c.mu.Unlock()
	return record, retryAfter
}

// exchangeWith is exchange with another credential. Its result isn't recorded with those of proper requests.
func (c *soakCallers) exchangeWith(credential string, client *http.Client, base, method, path, key string, work time.Duration, e *soakEntry) (soakRecord, time.Duration) {
	record := soakRecord{
		id: fmt.Sprint("r", c.nextID.Add(1)), entry: e.name, path: path, incarnation: e.incarnation(), isIdempotent: method == http.MethodGet, began: time.Now(),
	}
	request := callRequest{base: base, method: method, host: soakHost, path: path + record.id, header: http.Header{}}
	request.header.Set("X-Request-Id", record.id)
	request.header.Set("X-Affinity-Key", key)
	request.header.Set(platform.HeaderCredential, credential)
	request.header.Set(platform.HeaderTeam, "forged")
	request.header.Set("X-Deadline-Ms", strconv.FormatInt((soakClientTimeout-time.Second).Milliseconds(), 10))
	request.header.Set("X-Standin-Work", work.String())
	want := fmt.Appendf(nil, "%s %s\n", method, request.path)
	if method == http.MethodPost {
		request.body = bytes.Repeat([]byte(record.id+"."), 50)
		want = request.body
	}
	response, err := request.send(client)
	record.ended, record.status, record.err = time.Now(), response.status, err
	if err == nil {
		record.fromBackend = response.header.Get("X-Standin-Id") != ""
		record.endlessFrom = endlessFrom(response)
		record.violation = responseViolation(record, response, want, teamOf(credential))
	}
	seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return record, min(time.Duration(seconds*float64(time.Second)), time.Second)
}

// responseViolation describes what is wrong with the response itself, or returns an empty string.
func responseViolation(record soakRecord, response callResponse, want []byte, team string) string {
	switch {
	case record.fromBackend && response.header.Get(standin.HeaderTeamSeen) != team:
		return fmt.Sprintf("run for team %q", response.header.Get(standin.HeaderTeamSeen))
	case record.fromBackend:
		return responseMismatch(response, record.id, want)
	case record.endlessFrom != "":
		return "" // allowed only if the soak ended the backend's connections; see soakCheck
	case response.status < http.StatusMultipleChoices:
		return fmt.Sprintf("success status %d without a backend's response", response.status)
	case isNotRunStatus(response.status) && response.status != http.StatusMisdirectedRequest && response.header.Get("Retry-After") == "" && response.status != http.StatusRequestTimeout:
		return fmt.Sprintf("status %d without Retry-After", response.status)
	default:
		return ""
	}
}

// endlessLetters are those of the word that the stand-in repeats in an endless response.
const endlessLetters = "endls"

// endlessFrom returns the name of the backend that sent the endless response, or an empty string if it is none.
func endlessFrom(response callResponse) string {
	if response.header.Get("X-Standin-Id") != "" || strings.Trim(string(response.body), endlessLetters) != "" {
		return ""
	}
	name, _, _ := strings.Cut(response.header.Get(platform.HeaderServerStamp), "-")
	return name
}

// isNotRunStatus reports whether the status, on a response from an entry, guarantees that a non-idempotent request has
// not been executed and will not be.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// isDenied reports whether an entry ended the request as if it were wrong, although it is proper and its route is in
// every version of the configuration.
func (r soakRecord) isDenied() bool {
	return r.err == nil && !r.fromBackend && r.status >= http.StatusMultipleChoices && r.status < http.StatusInternalServerError &&
		!isNotRunStatus(r.status) && !isVersionPath(r.path)
}
