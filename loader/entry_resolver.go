package loader

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
	lookupPath     = "/eelgrassbeam/v1/lookup"
	lookupTimeout  = 2 * time.Second
	lookupAttempts = 20
	lookupPause    = 100 * time.Millisecond
	avoidTime      = 5 * time.Second
)

var errNoEntry = errors.New("no entry answers")

// finder keeps one caller's look-up answer until its TTL ends.
type finder struct {
	loader *Loader
	ask    int
	// client is an address of the caller's own block.
	client  string
	entries []string
	until   time.Time
	avoided map[string]time.Time
}

func newFinder(l *Loader, worker int) *finder {
	client := fmt.Sprintf("198.%d.%d.1", 18+worker>>8&1, worker&255)
	return &finder{loader: l, ask: worker, client: client, avoided: make(map[string]time.Time)}
}

// entry returns the best entry that has not failed lately.
func (f *finder) entry(ctx context.Context) (string, error) {
	now := f.loader.config.Clock.Now()
	if now.After(f.until) {
		if err := f.refresh(ctx); err != nil {
			return "", err
		}
	}
	usable := slices.DeleteFunc(slices.Clone(f.entries), func(address string) bool {
		return now.Before(f.avoided[address])
	})
	if len(usable) > 0 {
		return usable[0], nil
	}
	return f.entries[0], nil
}

// avoid passes over the entry for a while and asks for another answer.
func (f *finder) avoid(address string) {
	f.avoided[address] = f.loader.config.Clock.Now().Add(avoidTime)
	f.until = time.Time{}
}

func (f *finder) refresh(ctx context.Context) error {
	var last error
	for range lookupAttempts {
		f.ask++
		if last = f.lookup(ctx, f.loader.config.Entries[f.ask%len(f.loader.config.Entries)]); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.loader.config.Clock.After(lookupPause):
		}
	}
	return fmt.Errorf("%w: %w", errNoEntry, last)
}

func (f *finder) lookup(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+lookupPath+"?client="+f.client, nil)
	if err != nil {
		return err
	}
	response, err := f.loader.client.Do(request)
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
	f.entries = f.entries[:0]
	for _, entry := range answer.Entries {
		f.entries = append(f.entries, entry.Address)
	}
	f.until = f.loader.config.Clock.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
	return nil
}
