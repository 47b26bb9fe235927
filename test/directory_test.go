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

// directory caches the lookup response for its TTL, as callers do.
type directory struct {
	client *http.Client
	// bootstrap holds the entry URLs that are known from the start; lookups go to them in turn.
	bootstrap []string
	// direct disables lookups: requests go to the bootstrap URLs.
	direct bool
	// follow also accepts entries from lookups that are not in bootstrap.
	follow bool

	mu        sync.Mutex
	entryURLs []string
	expires   time.Time
	lookups   int
}

// entries returns the entry URLs from the current lookup response, or the bootstrap URLs if there are none.
func (d *directory) entries() []string {
	if d.direct {
		return d.bootstrap
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := slices.Concat(d.entryURLs, d.bootstrap)
	for range known {
		if time.Now().Before(d.expires) {
			break
		}
		d.refresh(known[d.lookups%len(known)])
		d.lookups++
	}
	if len(d.entryURLs) == 0 {
		return d.bootstrap
	}
	return d.entryURLs
}

// refresh sends a lookup to the entry at base. If the lookup fails, the previous entries remain in use.
func (d *directory) refresh(base string) {
	begin := time.Now()
	response, err := callRequest{base: base, method: http.MethodGet, path: "/eelgrassbeam/v1/lookup", header: http.Header{}}.send(d.client)
	if err != nil || response.status != http.StatusOK {
		return
	}
	var decoded lookupResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil {
		return
	}
	var urls []string
	for _, entry := range decoded.Entries {
		if url := fmt.Sprintf("http://%s", entry.Address); d.follow || slices.Contains(d.bootstrap, url) {
			urls = append(urls, url)
		}
	}
	d.entryURLs, d.expires = urls, begin.Add(time.Duration(decoded.TTLSeconds)*time.Second)
}
