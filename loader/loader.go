// Package loader is a load generator that sends requests to entries and checks each response.
package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// RequestKind describes one kind of request in a mix.
type RequestKind struct {
	Service eelgrassbeam.ServiceName
	Rank    eelgrassbeam.Rank
	Host    string
	Method  string
	Path    string
	// Work is the service time that a stand-in backend server is asked to take; zero leaves it to the server.
	Work time.Duration
	// Weight is the kind's share of the requests, relative to the other weights.
	Weight int
	// Teams are the teams that requests name, in rotation; empty for none.
	Teams []eelgrassbeam.TeamID
	// Keyed sends each request with a unique idempotency key.
	Keyed bool
}

// Config configures a Loader.
type Config struct {
	// Entries are the addresses, ip:port, at which entries accept callers' requests. Lookups are sent to them.
	Entries []string
	Mix     []RequestKind
	// Requests is the total number of requests.
	Requests int
	// Concurrency is the number of callers. Each one sends one request at a time.
	Concurrency int
	// Rate is the target number of requests per second, which is not reached while all callers are busy. Zero sends
	// requests without a pause.
	Rate float64
	// Deadline is sent with each request; zero sends none.
	Deadline time.Duration
	Seed     uint64
	// Prefix is the prefix of each request id, which keeps the ids of several runs apart.
	Prefix string
	Clock  eelgrassbeam.Clock
}

// Loader sends the requests of one run.
type Loader struct {
	config      Config
	client      *http.Client
	nextRequest atomic.Int64
	startedAt   time.Time
	mu          sync.Mutex
	report      *Report
}

// New returns a Loader.
func New(config Config) *Loader {
	return &Loader{
		config:    config,
		startedAt: config.Clock.Now(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Concurrency}},
		report:    newReport(),
	}
}

// Run sends the requests and returns their results.
func (l *Loader) Run(ctx context.Context) (*Report, error) {
	defer l.client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for caller := range l.config.Concurrency {
		group.Go(func() error { return l.runCaller(ctx, caller) })
	}
	err := group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report, err
}

func (l *Loader) runCaller(ctx context.Context, caller int) error {
	random := rand.New(rand.NewPCG(l.config.Seed, uint64(caller)))
	resolver := newEntryResolver(l, caller)
	for {
		n := int(l.nextRequest.Add(1)) - 1
		if n >= l.config.Requests || ctx.Err() != nil {
			return ctx.Err()
		}
		l.pace(ctx, n)
		kind := l.pickKind(random)
		address, err := resolver.entry(ctx)
		if err != nil {
			return fmt.Errorf("look up entries: %w", err)
		}
		result := l.send(ctx, address, kind, n)
		if result.Outcome == Lost {
			resolver.avoid(address)
		}
		l.record(result)
	}
}

// pace waits until the n-th request is due.
func (l *Loader) pace(ctx context.Context, n int) {
	if l.config.Rate <= 0 {
		return
	}
	due := l.startedAt.Add(time.Duration(float64(n) / l.config.Rate * float64(time.Second)))
	select {
	case <-ctx.Done():
	case <-l.config.Clock.After(due.Sub(l.config.Clock.Now())):
	}
}

func (l *Loader) pickKind(random *rand.Rand) RequestKind {
	total := 0
	for _, kind := range l.config.Mix {
		total += kind.Weight
	}
	at := random.IntN(total)
	for _, kind := range l.config.Mix {
		if at < kind.Weight {
			return kind
		}
		at -= kind.Weight
	}
	return l.config.Mix[0]
}

func (l *Loader) record(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.add(result)
}
