package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Defaults for zero fields of a BackendConfig.
const (
	defaultSlots           = 3
	defaultConnectionLimit = 360
	defaultQueueWait       = 50 * time.Millisecond
	defaultColdFactor      = 4.0
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	ID      eelgrassbeam.UpstreamID
	Service eelgrassbeam.ServiceName
	// Slots is the maximum number of requests in progress, 0 for 3.
	Slots int
	// ConnectionLimit is the maximum number of open connections, 0 for 360.
	ConnectionLimit int
	// ConnectionCost is added to the service time of the first request on a connection.
	ConnectionCost time.Duration
	// ProbeCost is the time for which a probe holds a slot.
	ProbeCost time.Duration
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// ColdStart is the time after NewBackend during which service times are multiplied. The multiplier falls linearly
	// from ColdFactor, or from 4 if ColdFactor is below 1, to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// Lag is the maximum age of a load report.
	Lag time.Duration
	// QueueLimit is the maximum number of requests that wait for a slot, 0 for Slots.
	QueueLimit int
	// QueueWait is the longest wait for a slot, 0 for 50 ms.
	QueueWait time.Duration
	// Journal receives one line for each executed request: its id, its idempotency key and, while the backend is
	// draining, the milliseconds of DrainingFor, separated by tabs. Nil for none.
	Journal io.Writer
	// DrainingFor returns how long the platform has known that the backend is draining, nil for never.
	DrainingFor func() time.Duration
	// Seed seeds the random service times.
	Seed  uint64
	Clock eelgrassbeam.Clock
}

func (c BackendConfig) withDefaults() BackendConfig {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.ConnectionLimit <= 0 {
		c.ConnectionLimit = defaultConnectionLimit
	}
	if c.ColdFactor < 1 {
		c.ColdFactor = defaultColdFactor
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = c.Slots
	}
	if c.QueueWait <= 0 {
		c.QueueWait = defaultQueueWait
	}
	return c
}

// Backend is an upstream that echoes requests and counts how often each one was executed.
type Backend struct {
	config          BackendConfig
	clock           eelgrassbeam.Clock
	connectionLimit int
	startedAt       time.Time
	mux             *http.ServeMux
	slots           *slots
	counters        *counters
	faults          faultSet
	loadCache       reportCache
	previous        previousResponse
	stop            chan struct{}
	once            sync.Once

	// mu guards random.
	mu     sync.Mutex
	random *rand.Rand
}

// NewBackend returns a Backend whose cold start begins now.
func NewBackend(config BackendConfig) *Backend {
	config = config.withDefaults()
	b := &Backend{
		config:          config,
		clock:           config.Clock,
		connectionLimit: config.ConnectionLimit,
		startedAt:       config.Clock.Now(),
		mux:             http.NewServeMux(),
		slots:           newSlots(config.Clock, config.Slots, config.QueueLimit, config.QueueWait),
		counters:        newCounters(config.Journal, config.DrainingFor),
		stop:            make(chan struct{}),
		random:          rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	b.mux.HandleFunc("GET /standin/health", b.serveHealth)
	b.mux.HandleFunc("GET /standin/load", b.serveLoad)
	b.mux.HandleFunc("GET /standin/counts", b.serveCounts)
	b.mux.HandleFunc("GET /standin/faults", b.getFaults)
	b.mux.HandleFunc("PUT /standin/faults", b.putFaults)
	return b
}

// ServeHTTP serves probes, load reports and fault settings under /standin/, and executes requests for all other paths.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		b.mux.ServeHTTP(w, r)
		return
	}
	b.serveWork(w, r)
}

// Close ends requests that are blocked by the Freeze fault.
func (b *Backend) Close() { b.once.Do(func() { close(b.stop) }) }

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(faults BackendFaults) { b.faults.set(faults) }

// Counts returns the numbers of executed and rejected requests so far.
func (b *Backend) Counts() BackendCounts {
	counts := b.counters.copy()
	_, counts.MaxInProgress = b.slots.usage()
	return counts
}

func (b *Backend) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.Counts())
}

// freeze blocks until the client disconnects or the backend closes, then aborts the connection.
func (b *Backend) freeze(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-b.stop:
	}
	panic(http.ErrAbortHandler)
}
