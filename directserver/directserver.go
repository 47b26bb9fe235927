// Package directserver assembles and runs an entry that forwards requests directly to upstreams. It gets its routes and
// upstreams from the platform's store or from peers.
package directserver

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
	"github.com/eelgrassbeam/eelgrassbeam/authenticator"
	"github.com/eelgrassbeam/eelgrassbeam/bufferlimiter"
	"github.com/eelgrassbeam/eelgrassbeam/forwarder"
	"github.com/eelgrassbeam/eelgrassbeam/gossiper"
	"github.com/eelgrassbeam/eelgrassbeam/httpserver"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/picker"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/quotalimiter"
	"github.com/eelgrassbeam/eelgrassbeam/retrylimiter"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
	"github.com/eelgrassbeam/eelgrassbeam/viewer"
	"github.com/eelgrassbeam/eelgrassbeam/watcher"
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
	// bufferRatio is the budget for buffered bodies as a fraction of the instance's memory. While a body is handed on,
	// two copies of it exist.
	bufferRatio = 0.25
	// defaultMemoryBytes is the memory assumed if the settings name none.
	defaultMemoryBytes = 512 << 20
	// maxPeerMessageBytes bounds a message between entries: the full state of some 40,000 upstreams.
	maxPeerMessageBytes = 8 << 20
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
	bootstrapPeerWait = 2 * time.Second
	// nonWatcherPeerWait is the minimum time for which an entry whose zone has other watchers waits at start for state
	// from peers: as long as a watcher takes to list thousands of upstreams and to push them to its zone.
	nonWatcherPeerWait = 4 * time.Second
	// retryBurst is the maximum number of unused retries that the retry budget accumulates per service.
	retryBurst = 3
)

// Config configures a Server.
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

// Server is an entry with all of its components.
type Server struct {
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
	watcher   *watcher.Watcher
	pool      *peer.Pool
	gossiper  *gossiper.Gossiper
	picker    *picker.Picker
	upstreams *upstream.Client
	forwarder *forwarder.Forwarder

	authenticator *authenticator.Authenticator
	quotas        *quotalimiter.QuotaLimiter

	callerServer   *httpserver.Server
	callerListener net.Listener
	peerServer     *grpc.Server
	httpServers    []*http.Server
}

// New assembles an entry. Run opens its sockets and starts its components.
func New(config Config) (*Server, error) {
	settings := config.Settings
	f := &Server{config: config, registry: prometheus.NewRegistry()}
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
	if f.authenticator, err = authenticator.New(); err != nil {
		return nil, oops.In("fronter").Wrap(err)
	}
	f.buildView()
	f.buildRequests()
	f.registerState()
	f.buildServers()
	if disableGuards != nil {
		disableGuards(f)
	}
	return f, nil
}

// disableGuards disables guards in builds with the tag unguarded, which are for tests; nil in other builds.
var disableGuards func(f *Server)

func (s *Server) buildView() {
	s.viewer = viewer.New(viewer.Config{
		Clock: s.config.Clock, Log: s.log, DecodeRouting: platform.DecodeRouting, Heartbeat: s.config.Settings.Heartbeat,
		SharesConfirmations: s.mustConfirm(),
		ZoneReachesStore:    func() bool { return s.gossiper.ZoneReachesStore() },
	})
	s.pool = peer.NewPool(peer.PoolConfig{Clock: s.config.Clock, Log: s.log, MaxMessageBytes: maxPeerMessageBytes})
	s.gossiper = gossiper.New(gossiper.Config{
		Self: s.self, Pool: s.pool, Clock: s.config.Clock, Log: s.log, Seeds: s.config.Settings.Seeds,
		Registerer: s.registry, Replica: s.viewer, Directory: platform.EntryDirectory{Store: s.store}, IsReady: s.isReady, IsStoreReachable: s.viewer.IsStoreReachable,
	})
	wait := peerWait
	if s.config.Settings.IsFirstStart {
		wait = bootstrapPeerWait
	}
	s.watcher = watcher.New(watcher.Config{
		Store: s.store, Clock: s.config.Clock, Log: s.log, Observer: s.viewer, IsWatcher: s.gossiper.IsWatcher,
		PeerWait: wait, NonWatcherPeerWait: nonWatcherPeerWait, CheckConnection: s.checkStore,
		Sinks: platform.NewSinks(platform.SinkConfig{
			Viewer: s.viewer, Clock: s.config.Clock, Log: s.log, Regions: s.config.Settings.Regions,
		}),
	})
}

func (s *Server) buildRequests() {
	s.picker = picker.New(picker.Config{
		Self: s.self, Clock: s.config.Clock, Log: s.log, Views: s.viewer, Entries: s.gossiper.LiveIDs,
	})
	s.upstreams = upstream.New(upstream.Config{
		Clock: s.config.Clock, Log: s.log, Registerer: s.registry, IdleTimeout: upstreamIdleTimeout, DialTimeout: dialTimeout,
		ResponseMargin: responseGrace,
		Dialect: upstream.Dialect{
			ExpectedID: platform.HeaderExpectInstance, NotRun: platform.HeaderNotExecuted, Load: platform.HeaderServerLoad,
			Limit: platform.HeaderServerLimit, Leaving: platform.HeaderServerLeaving, Team: platform.HeaderTeam,
			Receipt: platform.HeaderServerStamp, AcceptUnframed: true,
		},
	})
	s.quotas = quotalimiter.New(quotalimiter.Config{
		Self: s.self, Clock: s.config.Clock, Log: s.log, Entries: s.gossiper.LiveEntries, Teams: s.teams,
		Overage: s.config.Settings.QuotaOverage, Slack: s.config.Settings.QuotaSlack,
		Reporter: quotalimiter.NewPeerReporter(s.pool), Registerer: s.registry,
	})
	s.forwarder = forwarder.New(forwarder.Config{
		Self: s.self, Clock: s.config.Clock, Log: s.log, Views: s.viewer, Picker: s.picker, Exchanger: s.upstreams,
		Budget:  retrylimiter.New(retrylimiter.Config{Registerer: s.registry, Burst: retryBurst}),
		Buffers: bufferlimiter.New(bufferlimiter.Config{Bytes: bufferBytes(s.config.Settings), Registerer: s.registry}),
		Metrics: forwarder.NewMetrics(s.registry), Entries: s.gossiper.LiveCount,
		AffinityHeader: platform.HeaderAffinityKey, CredentialHeader: platform.HeaderCredential, TeamHeader: platform.HeaderTeam,
		ResponseGrace: responseGrace, Authenticator: s.authenticator, Quotas: s.quotas, AreTeamsCurrent: s.areTeamsCurrent,
	})
}

func (s *Server) buildServers() {
	s.callerServer = httpserver.New(httpserver.Config{
		Clock: s.config.Clock, Handler: s.forwarder, Limits: s.limits, AllowConcurrent: s.forwarder.IsSafeToRetry,
		ReserveBody: s.forwarder.ReserveBody, Log: s.log, Registerer: s.registry, RequestIDHeader: upstream.HeaderRequestID,
	})
	s.peerServer = peer.NewServer(peer.ServerConfig{MaxMessageBytes: maxPeerMessageBytes})
	peer.RegisterPing(s.peerServer)
	s.gossiper.Register(s.peerServer)
	quotalimiter.Register(s.peerServer, s.quotas)
	ttl := min(lookupTTL, s.config.Settings.LookupTTL)
	s.httpServers = []*http.Server{
		{Addr: s.config.Settings.ReadyAddress.String(), Handler: platform.NewReadinessHandler(s.isReady), ReadHeaderTimeout: defaultHeaderTimeout},
		{Addr: s.config.Settings.DirectoryAddress.String(), Handler: platform.NewLookupHandler(s, ttl, s.log), ReadHeaderTimeout: defaultHeaderTimeout},
		{
			Addr: s.config.Settings.MetricsAddress.String(), ReadHeaderTimeout: defaultHeaderTimeout,
			Handler: promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}),
		},
	}
}

// limits returns the caller limits of the current configuration, or the default of each that it doesn't set.
func (s *Server) limits() httpserver.Limits {
	limits := httpserver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	routing := s.viewer.View().Routing
	if routing == nil {
		return limits
	}
	configured := routing.Limits
	limits.BodyBytes = configured.BodyBytes
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// teams returns the teams of the configuration in force.
func (s *Server) teams() []eelgrassbeam.Team {
	routing := s.viewer.View().Routing
	if routing == nil {
		return nil
	}
	return routing.Teams
}

// bufferBytes returns the budget for buffered bodies.
func bufferBytes(settings platform.Settings) int64 {
	memory := settings.MemoryBytes
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	return int64(float64(memory) * bufferRatio)
}

// isReady reports whether this entry accepts callers' requests.
func (s *Server) isReady() bool { return !s.stopping.Load() && s.viewer.View().IsReady() }
