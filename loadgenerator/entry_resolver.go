package loadgenerator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	lookupPath          = "/eelgrassbeam/v1/lookup"
	lookupTimeout       = 2 * time.Second
	lookupAttempts      = 20
	lookupRetryInterval = 100 * time.Millisecond
	// avoidDuration is how long a caller avoids an entry after a transport failure.
	avoidDuration = 5 * time.Second
)

var errNoEntry = errors.New("no entry available")

// entryResolver looks up entries for one caller and caches the answer for its TTL.
type entryResolver struct {
	generator   *LoadGenerator
	lookupIndex int
	// client is the caller's address in lookups, in 198.18.0.0/15, which is reserved for benchmarks. Each of the first
	// 512 callers has its own /24 block, because entries are selected by the client's /24 block.
	client     string
	entries    []string
	expiresAt  time.Time
	avoidUntil map[string]time.Time
}

func newEntryResolver(l *LoadGenerator, caller int) *entryResolver {
	client := fmt.Sprintf("198.%d.%d.1", 18+caller>>8&1, caller&255)
	return &entryResolver{generator: l, lookupIndex: caller, client: client, avoidUntil: make(map[string]time.Time)}
}

// entry returns the address of the first entry in the lookup answer that is not being avoided, or that of the first
// entry if all are.
func (r *entryResolver) entry(ctx context.Context) (string, error) {
	now := r.generator.config.Clock.Now()
	if now.After(r.expiresAt) {
		if err := r.refresh(ctx); err != nil {
			return "", err
		}
	}
	usable := slices.DeleteFunc(slices.Clone(r.entries), func(address string) bool {
		return now.Before(r.avoidUntil[address])
	})
	if len(usable) > 0 {
		return usable[0], nil
	}
	return r.entries[0], nil
}

// avoid skips the entry for avoidDuration and expires the cached answer, so that the next call looks up entries again.
func (r *entryResolver) avoid(address string) {
	r.avoidUntil[address] = r.generator.config.Clock.Now().Add(avoidDuration)
	r.expiresAt = time.Time{}
}

func (r *entryResolver) refresh(ctx context.Context) error {
	var lastErr error
	for range lookupAttempts {
		r.lookupIndex++
		if lastErr = r.lookup(ctx, r.generator.config.Entries[r.lookupIndex%len(r.generator.config.Entries)]); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.generator.config.Clock.After(lookupRetryInterval):
		}
	}
	return fmt.Errorf("%w: %w", errNoEntry, lastErr)
}

func (r *entryResolver) lookup(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+lookupPath+"?client="+r.client, nil)
	if err != nil {
		return err
	}
	response, err := r.generator.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		TTLSeconds int `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.Entries) == 0 {
		return errNoEntry
	}
	r.entries = r.entries[:0]
	for _, entry := range answer.Entries {
		r.entries = append(r.entries, entry.Address)
	}
	r.expiresAt = r.generator.config.Clock.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	return nil
}
