package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// lookupResponse holds the fields of a lookup response that a caller uses.
type lookupResponse struct {
	TTLSeconds int `json:"ttl_seconds"`
	Entries    []struct {
		Address string `json:"address"`
	} `json:"entries"`
}

// entryResolver looks up entries and caches the response for its TTL, as callers do.
type entryResolver struct {
	client *http.Client
	// bootstrap holds the entry URLs that are known from the start; lookups go to them in turn.
	bootstrap []string
	// direct disables lookups: requests go to the bootstrap URLs.
	direct bool
	// follow also accepts entries that lookups return although they are not in bootstrap.
	follow bool

	mu        sync.Mutex
	entryURLs []string
	expires   time.Time
	lookups   int
}

// entries returns the entry URLs from the current lookup response, or the bootstrap URLs if there are none.
func (r *entryResolver) entries() []string {
	if r.direct {
		return r.bootstrap
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := slices.Concat(r.entryURLs, r.bootstrap)
	for range known {
		if time.Now().Before(r.expires) {
			break
		}
		r.refresh(known[r.lookups%len(known)])
		r.lookups++
	}
	if len(r.entryURLs) == 0 {
		return r.bootstrap
	}
	return r.entryURLs
}

// refresh sends a lookup to the entry at base. If the lookup fails, the previous entries remain in use.
func (r *entryResolver) refresh(base string) {
	begin := time.Now()
	response, err := callRequest{base: base, method: http.MethodGet, path: "/eelgrassbeam/v1/lookup", header: http.Header{}}.send(r.client)
	if err != nil || response.status != http.StatusOK {
		return
	}
	var decoded lookupResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil {
		return
	}
	var urls []string
	for _, entry := range decoded.Entries {
		if url := fmt.Sprintf("http://%s", entry.Address); r.follow || slices.Contains(r.bootstrap, url) {
			urls = append(urls, url)
		}
	}
	r.entryURLs, r.expires = urls, begin.Add(time.Duration(decoded.TTLSeconds)*time.Second)
}
