// Package relayer distributes configurations and membership changes to all entries through broadcast trees, and
// repairs losses by anti-entropy between peers.
package relayer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// WatchersPerZone is the number of entries per zone that watch the platform for configurations.
	WatchersPerZone = 2

	callTimeout = 500 * time.Millisecond
	// longCallTimeout applies to Pull, which may return a whole configuration, and to Zone, which queries all entries
	// of a zone.
	longCallTimeout = 2 * time.Second
	jobQueueLength  = 64
	jobWorkers      = 4
)

// Members maintains the fleet view; monitor.Monitor implements it.
type Members interface {
	ChangesReady() <-chan struct{}
	TakeChanges() monitor.MembershipChanges
	Merge(changes monitor.MembershipChanges) (fresh monitor.MembershipChanges, err error)
	Digest() monitor.Digest
	Pull(ctx context.Context, address netip.AddrPort) error
}

// Config configures a Relayer.
type Config struct {
	Self         eelgrassbeam.Entry
	ConfigHolder *configholder.ConfigHolder
	Fleet        eelgrassbeam.FleetSource
	// Members may be nil; only configurations are relayed then.
	Members Members
	Store   eelgrassbeam.Store
	// Pool is for control calls only, since a connection is closed once a call on it times out.
	Pool       *peer.Pool
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Relayer spreads configurations and membership changes down broadcast trees. It compares its state with peers to
// repair what the trees miss.
type Relayer struct {
	config  Config
	metrics metrics
	history *history
	seen    *seenTrees
	stored  storedVersion
	// treeKeys numbers the trees of membership changes. It starts at the current time in nanoseconds, above the keys of
	// earlier processes of this entry.
	treeKeys       atomic.Uint64
	jobs           chan func(context.Context)
	repairRequests chan repairRequest

	// skipsVersionCheck disables verifyLoop, which detects watches that hang; for tests only.
	skipsVersionCheck bool
}

// New returns a Relayer that is subscribed to the config holder; Run starts it.
func New(config Config) *Relayer {
	r := &Relayer{
		config: config, metrics: newMetrics(config.Registerer), history: &history{}, seen: newSeenTrees(),
		jobs: make(chan func(context.Context), jobQueueLength), repairRequests: make(chan repairRequest, 1),
	}
	r.treeKeys.Store(uint64(config.Clock.Now().UnixNano()))
	config.ConfigHolder.Subscribe(r.onApplied)
	return r
}

// onApplied records the configuration as a base for deltas. It also spreads a configuration that came from the
// platform, through this entry's watch or an operator's change on it.
func (r *Relayer) onApplied(configuration *eelgrassbeam.Configuration, source configholder.Source) {
	base := r.history.add(configuration)
	if source == configholder.SourcePlatform {
		r.enqueue(func(ctx context.Context) { r.spreadConfiguration(ctx, base, configuration.Revision()) })
	}
}

// Ready reports whether a configuration is in force on this entry.
func (r *Relayer) Ready() bool {
	_, ok := r.config.ConfigHolder.Configuration()
	return ok
}

// Register registers the relayer's gRPC service, which other entries call.
func (r *Relayer) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, r)
}

// Run runs the relayer's loops and workers until the context ends.
func (r *Relayer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){r.watchLoop, r.verifyLoop, r.compareLoop, r.repairLoop, r.membershipLoop} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	for range jobWorkers {
		group.Go(func() error {
			r.worker(ctx)
			return nil
		})
	}
	return group.Wait()
}

func (r *Relayer) worker(ctx context.Context) {
	for {
		select {
		case job := <-r.jobs:
			job(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue queues the job for a worker, or drops it if the queue is full. Anti-entropy repairs what a dropped job
// would have delivered.
func (r *Relayer) enqueue(job func(context.Context)) {
	select {
	case r.jobs <- job:
	default:
		r.metrics.droppedJobs.Inc()
	}
}

// sleep waits for d and reports false if the context ended first.
func (r *Relayer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-r.config.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// isWatcher reports whether rendezvous hashing selects this entry as one of its zone's watchers.
func (r *Relayer) isWatcher() bool {
	watchers := assigner.SortByScore("watch", r.zoneMembers(r.config.Self.Zone))
	for _, entry := range watchers[:min(len(watchers), WatchersPerZone)] {
		if entry.ID == r.config.Self.ID {
			return true
		}
	}
	return false
}

func (r *Relayer) zoneMembers(zone eelgrassbeam.ZoneID) []eelgrassbeam.Entry {
	return assigner.LiveEntries(r.config.Fleet.Fleet(), func(e eelgrassbeam.Entry) bool { return e.Zone == zone })
}
