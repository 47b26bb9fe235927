package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// defaultHistory is the number of changes kept for watches unless configured.
const defaultHistory = 10_000

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Clock eelgrassbeam.Clock
	// History is the number of changes kept for watches, 0 for the default.
	History int
	// Lapse is the silence after which an upstream's entry is removed, 0 for never.
	Lapse time.Duration
}

// PlatformFaults are the faults that a test sets on a Platform.
type PlatformFaults struct {
	// Down answers each call with 503.
	Down bool `json:"down,omitempty"`
	// Slow is the delay before each answer.
	Slow eelgrassbeam.Duration `json:"slow,omitzero"`
	// LoseAnswers is the number of writes still to take effect without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SilentWatch makes watches hang until their client goes away.
	SilentWatch bool `json:"silent_watch,omitempty"`
	// ListLag is the time after which changes of the instance list show.
	ListLag eelgrassbeam.Duration `json:"list_lag,omitzero"`
}

// PlatformCounts are the calls that a Platform received, by kind.
type PlatformCounts struct {
	Get       int `json:"get"`
	List      int `json:"list"`
	Create    int `json:"create"`
	Update    int `json:"update"`
	Delete    int `json:"delete"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	Total   int `json:"total"`
}

// Platform serves the platform's object API and instance list from memory.
type Platform struct {
	clock eelgrassbeam.Clock
	mux   *http.ServeMux
	stop  chan struct{}
	once  sync.Once

	// mu guards all below.
	mu        sync.Mutex
	objects   *objects
	lapses    lapses
	instances *instances
	faults    PlatformFaults
	counts    PlatformCounts
	// changed is closed and replaced at each change that a watch has to see.
	changed chan struct{}
}

// NewPlatform returns a Platform with no objects and no instances.
func NewPlatform(config PlatformConfig) *Platform {
	history := config.History
	if history <= 0 {
		history = defaultHistory
	}
	p := &Platform{
		clock:     config.Clock,
		mux:       http.NewServeMux(),
		stop:      make(chan struct{}),
		objects:   newObjects(history),
		lapses:    lapses{after: config.Lapse, written: make(map[string]time.Time)},
		instances: newInstances(),
		changed:   make(chan struct{}),
	}
	p.routeObjects()
	p.routeControl()
	return p
}

// ServeHTTP serves the object API below /objects and the control of tests below /control.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Server returns an HTTP server for the platform that ends waiting calls on shutdown.
func (p *Platform) Server() *http.Server {
	server := &http.Server{Handler: p}
	server.RegisterOnShutdown(p.Close)
	return server
}

// Close ends all waiting calls.
func (p *Platform) Close() { p.once.Do(func() { close(p.stop) }) }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wake()
}

// Counts returns the calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// PutInstance adds the instance or replaces the one with its id.
func (p *Platform) PutInstance(row eelgrassbeam.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.put(row, p.clock.Now().Add(p.faults.ListLag.Duration))
}

func (p *Platform) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// wake wakes all watches; the caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
