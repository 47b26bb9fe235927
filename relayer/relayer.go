// Package relayer brings accepted configurations and news about the fleet to each entry.
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
	"github.com/eelgrassbeam/eelgrassbeam/holder"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// WatchersPerZone is the number of entries of each zone that watch the platform.
	WatchersPerZone = 2

	callTimeout = 500 * time.Millisecond
	pullTimeout = 2 * time.Second
	queueLength = 64
	pushWorkers = 4
)

// Members keeps the view of the fleet; monitor.Monitor implements it.
type Members interface {
	NewsReady() <-chan struct{}
	TakeNews() monitor.News
	Merge(news monitor.News) (fresh monitor.News, err error)
	Digest() monitor.Digest
	Pull(ctx context.Context, address netip.AddrPort) error
}

// Config configures a Relayer.
type Config struct {
	Self   eelgrassbeam.Entry
	Holder *holder.Holder
	Fleet  eelgrassbeam.FleetSource
	// Members may be nil; then only the configuration is relayed.
	Members Members
	Store   eelgrassbeam.Store
	// Pool is for control calls only: a connection on which a call timed out is closed.
	Pool       *peer.Pool
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Relayer spreads what it learns down trees and repairs what they miss by comparison with peers.
type Relayer struct {
	config  Config
	metrics metrics
	history *history
	seen    *seen
	// keys numbers the trees of news, above those of earlier processes.
	keys  atomic.Uint64
	jobs  chan func(context.Context)
	lacks chan lack

	// skipsVerify leaves a silent watch undetected; tests only.
	skipsVerify bool
}

// New returns a relayer.
func New(config Config) *Relayer {
	r := &Relayer{
		config: config, metrics: newMetrics(config.Registerer), history: &history{}, seen: newSeen(),
		jobs: make(chan func(context.Context), queueLength), lacks: make(chan lack, 1),
	}
	r.keys.Store(uint64(config.Clock.Now().UnixNano()))
	config.Holder.Subscribe(r.applied)
	return r
}

// applied keeps the configuration for deltas, and spreads one that this entry has from the platform, by its watch or
// by an operator's change.
func (r *Relayer) applied(configuration *eelgrassbeam.Configuration, source holder.Source) {
	base := r.history.add(configuration)
	if source == holder.SourcePlatform {
		r.enqueue(func(ctx context.Context) { r.spreadConfiguration(ctx, base, configuration.Version) })
	}
}

// Ready tells whether a configuration is in force here.
func (r *Relayer) Ready() bool {
	_, ok := r.config.Holder.Configuration()
	return ok
}

// Register adds the relayer's service to the server between entries.
func (r *Relayer) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, r)
}

// Run watches, spreads and compares until the context ends.
func (r *Relayer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){r.watch, r.verify, r.compare, r.repair, r.spreadNews} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	for range pushWorkers {
		group.Go(func() error {
			r.work(ctx)
			return nil
		})
	}
	return group.Wait()
}

// work runs queued jobs.
func (r *Relayer) work(ctx context.Context) {
	for {
		select {
		case job := <-r.jobs:
			job(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue hands the job to a worker. A full queue drops it; the comparison with peers makes up for that.
func (r *Relayer) enqueue(job func(context.Context)) {
	select {
	case r.jobs <- job:
	default:
		r.metrics.dropped.Inc()
	}
}

// pause waits and tells whether to go on.
func (r *Relayer) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-r.config.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// isWatcher tells whether this entry is one of its zone's watchers.
func (r *Relayer) isWatcher() bool {
	watchers := assigner.Rank("watch", r.zoneMembers(r.config.Self.Zone))
	for _, entry := range watchers[:min(len(watchers), WatchersPerZone)] {
		if entry.ID == r.config.Self.ID {
			return true
		}
	}
	return false
}

func (r *Relayer) zoneMembers(zone eelgrassbeam.ZoneID) []eelgrassbeam.Entry {
	return assigner.Live(r.config.Fleet.Fleet(), func(e eelgrassbeam.Entry) bool { return e.Zone == zone })
}
