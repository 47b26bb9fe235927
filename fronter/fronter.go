// Package fronter puts an entry together that takes its routes and upstreams from the platform's store.
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
	// lookupTTL is how long callers may keep a look-up: short, so that a lost entry is left soon.
	lookupTTL = 2 * time.Second
	// acceptAfterStop is how long new requests are taken after the signal to stop: callers learn of it by then.
	acceptAfterStop = 1500 * time.Millisecond
	// stopReserve is left of the grace for the process to end by itself, on a busy processor too.
	stopReserve = 600 * time.Millisecond
	// settingsInterval is the time between looks whether the settings file has changed without a signal.
	settingsInterval = 2 * time.Second
	// memoryShare is the part of the instance's memory at which the collector works harder.
	memoryShare = 0.7
	// storeTimeout bounds one call to the store: many times its usual answer, less than what a change may take.
	storeTimeout = 1 * time.Second
	// storeCallsPerSecond bounds this entry's calls to the store.
	storeCallsPerSecond = 20
	// dialTimeout bounds the opening of a connection to an upstream: it answers within two delays between regions.
	dialTimeout = 400 * time.Millisecond
	// upstreamIdle closes idle connections to upstreams before the upstreams do.
	upstreamIdle = 5 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout hold until the configuration is known.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// defaultHeaderBytes bounds a request's header.
	defaultHeaderBytes = 64 << 10
	// answerGrace is how long after a request's deadline an answer on its way is awaited: more than a way between regions and back.
	answerGrace = 100 * time.Millisecond
	// peerWait is how long a start waits for the state of peers before it lists the store's: two calls to a seed in another region.
	peerWait = 300 * time.Millisecond
	// firstPeerWait is that time when the whole fleet starts, so that entries find those of their zone first.
	firstPeerWait = 1200 * time.Millisecond
	// passiveWait is that time for an entry that knows others of its zone to watch: three rounds of gossip.
	passiveWait = 1500 * time.Millisecond
	// retryBurst is the number of repeats that an entry may save up for a service.
	retryBurst = 3
)

// Config configures a Fronter.
type Config struct {
	Node platform.Node
	// ReadNode reads the settings again after a change.
	ReadNode func() (platform.Node, error)
	Clock    eelgrassbeam.Clock
	Log      logrus.FieldLogger
	// Lines passes the log on.
	Lines   eelgrassbeam.Runner
	Version string
}

// Fronter is one entry.
type Fronter struct {
	config Config
	// node are the settings in force; only the goroutine that awaits signals changes them.
	node     platform.Node
	self     eelgrassbeam.Entry
	log      logrus.FieldLogger
	registry *prometheus.Registry
	stopping atomic.Bool
	// stopsAtOnce ends all connections at the signal to stop; tests only.
	stopsAtOnce bool

	store     *platform.Client
	viewer    *viewer.Viewer
	follower  *follower.Follower
	pool      *peer.Pool
	gossiper  *gossiper.Gossiper
	picker    *picker.Picker
	upstreams *upstream.Client
	forwarder *forwarder.Forwarder

	callers  *receiver.Receiver
	listener net.Listener
	peers    *grpc.Server
	others   []*http.Server
}

// New puts the parts together; Run opens the sockets and starts them.
func New(config Config) (*Fronter, error) {
	node := config.Node
	f := &Fronter{config: config, registry: prometheus.NewRegistry()}
	f.self = eelgrassbeam.Entry{
		ID: node.ID, Zone: node.Zone, Region: node.Region, State: eelgrassbeam.InstanceLive,
		Address: node.CallerAddress, PeerAddress: node.PeerAddress, Capacity: capacity(node),
	}
	f.log = config.Log.WithField("entry", string(node.ID))
	f.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	store, err := platform.New(platform.Config{
		URL: "http://" + node.StoreAddress.String(), Timeout: storeTimeout, CallsPerSecond: storeCallsPerSecond,
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

// unguard turns guards off in a build for tests.
var unguard func(f *Fronter)

func (f *Fronter) buildView() {
	f.viewer = viewer.New(viewer.Config{Clock: f.config.Clock, Log: f.log, DecodeRouting: platform.DecodeRouting})
	f.pool = peer.NewPool(peer.PoolConfig{Clock: f.config.Clock, Log: f.log})
	f.gossiper = gossiper.New(gossiper.Config{
		Self: f.self, Pool: f.pool, Clock: f.config.Clock, Log: f.log, Seeds: f.config.Node.Seeds,
		Replica: f.viewer, Directory: platform.Entries{Store: f.store}, IsReady: f.isReady, IsStoreReachable: f.viewer.IsStoreReachable,
	})
	wait := peerWait
	if f.config.Node.IsFirstStart {
		wait = firstPeerWait
	}
	f.follower = follower.New(follower.Config{
		Store: f.store, Clock: f.config.Clock, Log: f.log, Observer: f.viewer, IsActive: f.gossiper.IsWatcher,
		PeerWait: wait, PassiveWait: passiveWait,
		Sinks: platform.NewSinks(platform.SinkConfig{
			Viewer: f.viewer, Clock: f.config.Clock, Log: f.log, Regions: f.config.Node.Regions,
		}),
	})
}

func (f *Fronter) buildRequests() {
	f.picker = picker.New(picker.Config{
		Self: f.self, Clock: f.config.Clock, Log: f.log, Views: f.viewer, Entries: f.gossiper.LiveIDs,
	})
	f.upstreams = upstream.New(upstream.Config{
		Clock: f.config.Clock, Log: f.log, Registerer: f.registry, IdleTimeout: upstreamIdle, DialTimeout: dialTimeout,
		AnswerGrace: answerGrace,
		Dialect: upstream.Dialect{
			ExpectedID: platform.HeaderExpectInstance, NotRun: platform.HeaderNotExecuted, Load: platform.HeaderServerLoad,
			AcceptUnframed: true,
		},
	})
	f.forwarder = forwarder.New(forwarder.Config{
		Self: f.self, Clock: f.config.Clock, Log: f.log, Views: f.viewer, Picker: f.picker, Exchanger: f.upstreams,
		Budget:  retrier.New(retrier.Config{Registerer: f.registry, Burst: retryBurst}),
		Metrics: forwarder.NewMetrics(f.registry), Entries: func() int { return len(f.gossiper.LiveIDs()) },
		AffinityHeader: platform.HeaderAffinityKey, AnswerGrace: answerGrace,
	})
}

func (f *Fronter) buildServers() {
	f.callers = receiver.New(receiver.Config{
		Clock: f.config.Clock, Handler: f.forwarder, Limits: f.limits, MayOverlap: f.forwarder.MayRepeat,
	})
	f.peers = peer.NewServer(nil)
	peer.RegisterPing(f.peers)
	f.gossiper.Register(f.peers)
	ttl := min(lookupTTL, f.config.Node.LookupTTL)
	f.others = []*http.Server{
		{Addr: f.config.Node.ReadyAddress.String(), Handler: platform.NewReadiness(f.isReady), ReadHeaderTimeout: defaultHeaderTimeout},
		{Addr: f.config.Node.DirectoryAddress.String(), Handler: platform.NewResolver(f, ttl, f.log), ReadHeaderTimeout: defaultHeaderTimeout},
		{
			Addr: f.config.Node.MetricsAddress.String(), ReadHeaderTimeout: defaultHeaderTimeout,
			Handler: promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}),
		},
	}
}

// limits returns what holds for callers by the configuration in force.
func (f *Fronter) limits() receiver.Limits {
	routing := f.viewer.View().Routing
	if routing == nil || routing.Limits.IdleTimeout == 0 {
		return receiver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return receiver.Limits{
		HeaderBytes: routing.Limits.HeaderBytes, HeaderTimeout: routing.Limits.HeaderTimeout, IdleTimeout: routing.Limits.IdleTimeout,
	}
}

// isReady tells whether this entry takes callers' requests.
func (f *Fronter) isReady() bool { return !f.stopping.Load() && f.viewer.View().IsReady() }
