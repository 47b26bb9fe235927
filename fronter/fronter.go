// Package fronter assembles and runs an entry that gets its routes and upstreams from the platform's store.
package fronter

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/follower"
	"github.com/eelgrassbeam/eelgrassbeam/forwarder"
	"github.com/eelgrassbeam/eelgrassbeam/gossiper"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/receiver"
	"github.com/eelgrassbeam/eelgrassbeam/retrier"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
	"github.com/eelgrassbeam/eelgrassbeam/viewer"
)

const (
	// lookupTTL is how long callers may cache a lookup. It is short, so that callers soon stop using a lost entry.
	lookupTTL = 2 * time.Second
	// drainDelay is how long new requests are accepted after the stop signal, until callers have learned of the stop.
	drainDelay = 1500 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the process to exit, even if the CPU is busy.
	exitReserve = 600 * time.Millisecond
	// settingsPollInterval is the time between checks of the settings file for changes that come without a signal.
	settingsPollInterval = 2 * time.Second
	// memoryLimitRatio is the Go runtime's soft memory limit as a fraction of the instance's memory.
	memoryLimitRatio = 0.7
	// storeTimeout bounds one call to the store. It is many times the usual response time and below the time by
	// which a change has to take effect.
	storeTimeout = 1 * time.Second
	// storeCallsPerSecond limits the rate of this entry's calls to the store.
	storeCallsPerSecond = 20
	// dialTimeout bounds connection establishment to an upstream, which takes at most one round trip between regions.
	dialTimeout = 400 * time.Millisecond
	// upstreamIdleTimeout closes idle connections to upstreams before the upstreams close them.
	upstreamIdleTimeout = 5 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is available.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// defaultHeaderBytes bounds a request's header until a configuration is available.
	defaultHeaderBytes = 64 << 10
	// responseGrace is how long to wait past a request's deadline for a response in flight. It exceeds a round trip
	// between regions.
	responseGrace = 100 * time.Millisecond
	// peerWait is how long to wait at start for state from peers before listing the store. It covers two calls to a
	// seed in another region.
	peerWait = 300 * time.Millisecond
	// bootstrapPeerWait replaces peerWait when the whole fleet starts, so that entries first discover the others of
	// their zone.
	bootstrapPeerWait = 1200 * time.Millisecond
	// nonWatcherPeerWait is the minimum time for which an entry whose zone has other watchers waits at start for state from
	// peers: three gossip rounds.
	nonWatcherPeerWait = 1500 * time.Millisecond
	// retryBurst is the maximum number of unused retries that the retry budget accumulates per service.
	retryBurst = 3
)

// Config configures a Fronter.
type Config struct {
	Settings platform.Settings
	// ReadSettings reads the settings file again.
	ReadSettings func() (platform.Settings, error)
	Clock        eelgrassbeam.Clock
	Log          logrus.FieldLogger
	// LogWriter writes the log output.
	LogWriter eelgrassbeam.Runner
	Version   string
}

// Fronter is an entry with all of its components.
type Fronter struct {
	config Config
	// settings holds the current settings. After the start only the signal-handling goroutine changes it.
	settings platform.Settings
	self     eelgrassbeam.Entry
	log      logrus.FieldLogger
	registry *prometheus.Registry
	stopping atomic.Bool
	// stopsImmediately makes a stop signal close all connections without draining; used in tests only.
	stopsImmediately bool

	store     *platform.Client
	viewer    *viewer.Viewer
	follower  *follower.Follower
	pool      *peer.Pool
	gossiper  *gossiper.Gossiper
	picker    *picker.Picker
	upstreams *upstream.Client
	forwarder *forwarder.Forwarder

	receiver       *receiver.Receiver
	callerListener net.Listener
	peerServer     *grpc.Server
	httpServers    []*http.Server
}

// New assembles an entry. Run opens its sockets and starts its components.
func New(config Config) (*Fronter, error) {
	settings := config.Settings
	f := &Fronter{config: config, registry: prometheus.NewRegistry()}
	f.self = eelgrassbeam.Entry{
		ID: settings.ID, Zone: settings.Zone, Region: settings.Region, State: eelgrassbeam.InstanceLive,
		Address: settings.CallerAddress, PeerAddress: settings.PeerAddress, Capacity: capacity(settings),
	}
	f.log = config.Log.WithField("entry", string(settings.ID))
	f.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	store, err := platform.New(platform.Config{
		URL: "http://" + settings.StoreAddress.String(), Timeout: storeTimeout, CallsPerSecond: storeCallsPerSecond,
		Clock: config.Clock, Registerer: f.registry, Log: f.log,
	})
	if err != nil {
		return nil, oops.In("fronter").Wrap(err)
	}
	f.store = store
	f.buildView()
	f.buildRequests()
	f.buildServers()
	if unguard != nil {
		unguard(f)
	}
	return f, nil
}

// unguard disables guards in builds with the tag unguarded, which are for tests; nil in other builds.
var unguard func(f *Fronter)

func (f *Fronter) buildView() {
	f.viewer = viewer.New(viewer.Config{Clock: f.config.Clock, Log: f.log, DecodeRouting: platform.DecodeRouting})
	f.pool = peer.NewPool(peer.PoolConfig{Clock: f.config.Clock, Log: f.log})
	f.gossiper = gossiper.New(gossiper.Config{
		Self: f.self, Pool: f.pool, Clock: f.config.Clock, Log: f.log, Seeds: f.config.Settings.Seeds,
		Replica: f.viewer, Directory: platform.EntryDirectory{Store: f.store}, IsReady: f.isReady, IsStoreReachable: f.viewer.IsStoreReachable,
	})
	wait := peerWait
	if f.config.Settings.IsFirstStart {
		wait = bootstrapPeerWait
	}
	f.follower = follower.New(follower.Config{
		Store: f.store, Clock: f.config.Clock, Log: f.log, Observer: f.viewer, IsWatcher: f.gossiper.IsWatcher,
		PeerWait: wait, NonWatcherPeerWait: nonWatcherPeerWait,
		Sinks: platform.NewSinks(platform.SinkConfig{
			Viewer: f.viewer, Clock: f.config.Clock, Log: f.log, Regions: f.config.Settings.Regions,
		}),
	})
}

func (f *Fronter) buildRequests() {
	f.picker = picker.New(picker.Config{
		Self: f.self, Clock: f.config.Clock, Log: f.log, Views: f.viewer, Entries: f.gossiper.LiveIDs,
	})
	f.upstreams = upstream.New(upstream.Config{
		Clock: f.config.Clock, Log: f.log, Registerer: f.registry, IdleTimeout: upstreamIdleTimeout, DialTimeout: dialTimeout,
		ResponseMargin: responseGrace,
		Dialect: upstream.Dialect{
			ExpectedID: platform.HeaderExpectInstance, NotRun: platform.HeaderNotExecuted, Load: platform.HeaderServerLoad,
			AcceptUnframed: true,
		},
	})
	f.forwarder = forwarder.New(forwarder.Config{
		Self: f.self, Clock: f.config.Clock, Log: f.log, Views: f.viewer, Picker: f.picker, Exchanger: f.upstreams,
		Budget:  retrier.New(retrier.Config{Registerer: f.registry, Burst: retryBurst}),
		Metrics: forwarder.NewMetrics(f.registry), Entries: func() int { return len(f.gossiper.LiveIDs()) },
		AffinityHeader: platform.HeaderAffinityKey, ResponseGrace: responseGrace,
	})
}

func (f *Fronter) buildServers() {
	f.receiver = receiver.New(receiver.Config{
		Clock: f.config.Clock, Handler: f.forwarder, Limits: f.limits, AllowConcurrent: f.forwarder.IsSafeToRetry,
	})
	f.peerServer = peer.NewServer(nil)
	peer.RegisterPing(f.peerServer)
	f.gossiper.Register(f.peerServer)
	ttl := min(lookupTTL, f.config.Settings.LookupTTL)
	f.httpServers = []*http.Server{
		{Addr: f.config.Settings.ReadyAddress.String(), Handler: platform.NewReadinessHandler(f.isReady), ReadHeaderTimeout: defaultHeaderTimeout},
		{Addr: f.config.Settings.DirectoryAddress.String(), Handler: platform.NewLookupHandler(f, ttl, f.log), ReadHeaderTimeout: defaultHeaderTimeout},
		{
			Addr: f.config.Settings.MetricsAddress.String(), ReadHeaderTimeout: defaultHeaderTimeout,
			Handler: promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}),
		},
	}
}

// limits returns the caller limits of the current configuration, or defaults if it sets none.
func (f *Fronter) limits() receiver.Limits {
	routing := f.viewer.View().Routing
	if routing == nil || routing.Limits.IdleTimeout == 0 {
		return receiver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return receiver.Limits{
		HeaderBytes: routing.Limits.HeaderBytes, HeaderTimeout: routing.Limits.HeaderTimeout, IdleTimeout: routing.Limits.IdleTimeout,
	}
}

// isReady reports whether this entry accepts callers' requests.
func (f *Fronter) isReady() bool { return !f.stopping.Load() && f.viewer.View().IsReady() }
