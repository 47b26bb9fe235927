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

// Defaults of a BackendConfig.
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
	// Slots bounds the requests in progress, 0 for 3.
	Slots int
	// ConnectionLimit bounds open connections, 0 for 360.
	ConnectionLimit int
	// ConnectionCost is the time for which a new connection's first request holds its slot longer.
	ConnectionCost time.Duration
	// ProbeCost is the time for which a probe holds a slot.
	ProbeCost time.Duration
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// ColdStart is the time from New during which work costs more, by ColdFactor at first.
	ColdStart  time.Duration
	ColdFactor float64
	// Lag is the greatest age of a load report.
	Lag time.Duration
	// QueueLimit bounds waiting requests, 0 for Slots.
	QueueLimit int
	// QueueWait bounds the wait for a slot, 0 for 50 ms.
	QueueWait time.Duration
	// Journal gets one line a run, with the request's id and its idempotency key, nil for none.
	Journal io.Writer
	// LeavingFor returns how long the platform has known that the backend leaves, which the journal notes; nil for never.
	LeavingFor func() time.Duration
	// Seed seeds the service times.
	Seed  uint64
	Clock eelgrassbeam.Clock
}

// withDefaults returns a copy with the defaults filled in.
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

// Backend serves as one upstream that echoes requests and counts its runs.
type Backend struct {
	config          BackendConfig
	clock           eelgrassbeam.Clock
	connectionLimit int
	born            time.Time
	mux             *http.ServeMux
	slots           *slots
	ledger          *ledger
	faults          faultSet
	report          reporter
	last            lastAnswer
	stop            chan struct{}
	once            sync.Once

	// mu guards random.
	mu     sync.Mutex
	random *rand.Rand
}

// NewBackend returns a Backend that is cold from now on.
func NewBackend(config BackendConfig) *Backend {
	config = config.withDefaults()
	b := &Backend{
		config:          config,
		clock:           config.Clock,
		connectionLimit: config.ConnectionLimit,
		born:            config.Clock.Now(),
		mux:             http.NewServeMux(),
		slots:           newSlots(config.Clock, config.Slots, config.QueueLimit, config.QueueWait),
		ledger:          newLedger(config.Journal, config.LeavingFor),
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

// ServeHTTP serves any path as work, and probes and the control of tests below /standin.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		b.mux.ServeHTTP(w, r)
		return
	}
	b.serveWork(w, r)
}

// Close ends frozen exchanges.
func (b *Backend) Close() { b.once.Do(func() { close(b.stop) }) }

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) { b.faults.set(faults) }

// Counts returns what ran and what was refused so far.
func (b *Backend) Counts() BackendCounts {
	counts := b.ledger.copy()
	_, counts.MaxInProgress = b.slots.progress()
	return counts
}

func (b *Backend) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.Counts())
}

// freeze waits until the client goes away and aborts the connection.
func (b *Backend) freeze(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-b.stop:
	}
	panic(http.ErrAbortHandler)
}
