// Package loadgenerator sends requests to entries and checks each response.
package loadgenerator

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

// Config configures a LoadGenerator.
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

// LoadGenerator sends the requests of one run.
type LoadGenerator struct {
	config      Config
	client      *http.Client
	nextRequest atomic.Int64
	startedAt   time.Time
	mu          sync.Mutex
	report      *Report
}

// New returns a LoadGenerator.
func New(config Config) *LoadGenerator {
	return &LoadGenerator{
		config:    config,
		startedAt: config.Clock.Now(),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Concurrency}},
		report:    newReport(),
	}
}

// Run sends the requests and returns their results.
func (g *LoadGenerator) Run(ctx context.Context) (*Report, error) {
	defer g.client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for caller := range g.config.Concurrency {
		group.Go(func() error { return g.runCaller(ctx, caller) })
	}
	err := group.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report, err
}

func (g *LoadGenerator) runCaller(ctx context.Context, caller int) error {
	random := rand.New(rand.NewPCG(g.config.Seed, uint64(caller)))
	resolver := newEntryResolver(g, caller)
	for {
		n := int(g.nextRequest.Add(1)) - 1
		if n >= g.config.Requests || ctx.Err() != nil {
			return ctx.Err()
		}
		g.pace(ctx, n)
		kind := g.pickKind(random)
		address, err := resolver.entry(ctx)
		if err != nil {
			return fmt.Errorf("look up entries: %w", err)
		}
		result := g.send(ctx, address, kind, n)
		if result.Outcome == Lost {
			resolver.avoid(address)
		}
		g.record(result)
	}
}

// pace waits until the n-th request is due.
func (g *LoadGenerator) pace(ctx context.Context, n int) {
	if g.config.Rate <= 0 {
		return
	}
	due := g.startedAt.Add(time.Duration(float64(n) / g.config.Rate * float64(time.Second)))
	select {
	case <-ctx.Done():
	case <-g.config.Clock.After(due.Sub(g.config.Clock.Now())):
	}
}

func (g *LoadGenerator) pickKind(random *rand.Rand) RequestKind {
	total := 0
	for _, kind := range g.config.Mix {
		total += kind.Weight
	}
	at := random.IntN(total)
	for _, kind := range g.config.Mix {
		if at < kind.Weight {
			return kind
		}
		at -= kind.Weight
	}
	return g.config.Mix[0]
}

func (g *LoadGenerator) record(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.add(result)
}
