package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// lookupAnswer is what a caller reads of a look-up's answer.
type lookupAnswer struct {
	TTLSeconds int `json:"ttl_seconds"`
	Entries    []struct {
		Address string `json:"address"`
	} `json:"entries"`
}

// directory keeps the look-up's answer for its TTL, as a caller does.
type directory struct {
	client *http.Client
	// bootstrap are the URLs that look-ups are asked of, in turn.
	bootstrap []string
	// direct uses the bootstrap URLs without look-ups.
	direct bool
	// follow uses entries that the bootstrap does not name too.
	follow bool

	mu      sync.Mutex
	usable  []string
	expires time.Time
	asked   int
}

// entries returns the bootstrap URLs that the current look-up answer names, or all if none is known.
func (d *directory) entries() []string {
	if d.direct {
		return d.bootstrap
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known := slices.Concat(d.usable, d.bootstrap)
	for range known {
		if time.Now().Before(d.expires) {
			break
		}
		d.ask(known[d.asked%len(known)])
		d.asked++
	}
	if len(d.usable) == 0 {
		return d.bootstrap
	}
	return d.usable
}

// ask renews the answer; the old one stays if the entry gives none.
func (d *directory) ask(base string) {
	begin := time.Now()
	answer, err := outgoing{base: base, method: http.MethodGet, path: "/eelgrassbeam/v1/lookup", header: http.Header{}}.send(d.client)
	if err != nil || answer.status != http.StatusOK {
		return
	}
	var decoded lookupAnswer
	if err := json.Unmarshal(answer.body, &decoded); err != nil {
		return
	}
	var named []string
	for _, entry := range decoded.Entries {
		if url := fmt.Sprintf("http://%s", entry.Address); d.follow || slices.Contains(d.bootstrap, url) {
			named = append(named, url)
		}
	}
	d.usable, d.expires = named, begin.Add(time.Duration(decoded.TTLSeconds)*time.Second)
}
