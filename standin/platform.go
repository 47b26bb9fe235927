package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// defaultHistory is the default number of changes kept for watches.
const defaultHistory = 10_000

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Clock eelgrassbeam.Clock
	// History is the number of changes kept for watches, 0 for the default.
	History int
	// RegistrationTTL is the time without a write after which an upstream's registration is removed, 0 for never.
	RegistrationTTL time.Duration
}

// PlatformFaults are the faults that a test injects into a Platform.
type PlatformFaults struct {
	// Down answers each call with status 503.
	Down bool `json:"down,omitempty"`
	// Slow delays the handling of each call.
	Slow eelgrassbeam.Duration `json:"slow,omitzero"`
	// DropWriteResponses is the number of writes to apply and then abort without a response.
	DropWriteResponses int `json:"lose_answers,omitempty"`
	// SilentWatch blocks watches until the client disconnects.
	SilentWatch bool `json:"silent_watch,omitempty"`
	// ListLag is the delay after which a change of the instance list becomes visible.
	ListLag eelgrassbeam.Duration `json:"list_lag,omitzero"`
}

// PlatformCounts counts the calls that a Platform has received, by kind.
type PlatformCounts struct {
	Get       int `json:"get"`
	List      int `json:"list"`
	Create    int `json:"create"`
	Update    int `json:"update"`
	Delete    int `json:"delete"`
	Watch     int `json:"watch"`
	Instances int `json:"instances"`
	// Waiting is the number of watches in progress.
	Waiting int `json:"waiting"`
	Total   int `json:"total"`
}

// Platform serves the platform's object API and instance list from memory.
type Platform struct {
	clock eelgrassbeam.Clock
	mux   *http.ServeMux
	stop  chan struct{}
	once  sync.Once

	// mu guards the fields below.
	mu        sync.Mutex
	objects   *objects
	backup    *objects
	expiry    expiry
	instances *instances
	faults    PlatformFaults
	counts    PlatformCounts
	// changed is closed and replaced at each change of objects or faults, to wake up waiting watches.
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
		backup:    newObjects(history),
		expiry:    expiry{ttl: config.RegistrationTTL, lastWrite: make(map[string]time.Time)},
		instances: newInstances(),
		changed:   make(chan struct{}),
	}
	p.routeObjects()
	p.routeControl()
	return p
}

// ServeHTTP serves the object API under /objects, the instance list at /instances, and the control endpoints for tests
// under /control.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Server returns an HTTP server for the platform that calls Close on shutdown.
func (p *Platform) Server() *http.Server {
	server := &http.Server{Handler: p}
	server.RegisterOnShutdown(p.Close)
	return server
}

// Close ends waiting watches and calls that are blocked or delayed by a fault.
func (p *Platform) Close() { p.once.Do(func() { close(p.stop) }) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.notifyWatches()
}

// PutObject creates or replaces the object, even if the platform is down.
func (p *Platform) PutObject(kind, name string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordWrite(p.objects.put(objectKey{kind: kind, name: name}, value))
	p.notifyWatches()
}

// Copy remembers the present objects and revision for Restore, in place of the previous copy.
func (p *Platform) Copy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = p.objects.clone()
}

// Restore replaces the objects, the revision and the history of changes with those of the last copy, or with those of
// an empty store if there is none, and starts the next era. The registrations in the copy expire a full TTL from now.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects = p.objects.restored(p.backup)
	for _, object := range p.objects.list(platform.KindUpstreams).Objects {
		p.recordWrite(object)
	}
	p.notifyWatches()
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// PutInstance adds the instance, or replaces the one with the same id.
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

// notifyWatches makes all waiting watches check for changes. The caller holds mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
