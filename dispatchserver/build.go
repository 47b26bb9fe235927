package dispatchserver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/caller"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
	"github.com/eelgrassbeam/eelgrassbeam/deduplicator"
	"github.com/eelgrassbeam/eelgrassbeam/dispatcher"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/meter"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/recorder"
	"github.com/eelgrassbeam/eelgrassbeam/relayer"
	"github.com/eelgrassbeam/eelgrassbeam/resolver"
	"github.com/eelgrassbeam/eelgrassbeam/retrylimiter"
	"github.com/eelgrassbeam/eelgrassbeam/router"
	"github.com/eelgrassbeam/eelgrassbeam/securer"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle caller connection is kept open.
	callerIdleTimeout = 2 * time.Minute
)

// disableGuards disables the guards that the environment names. It is nil unless the program is built with the
// unguarded tag.
var disableGuards func(s *Server)

// build creates the components in the order of their dependencies.
func (s *Server) build() error {
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mutualTLS, err := s.buildTLS()
	if err != nil {
		return err
	}
	s.decisions = logger.New(s.decisionConfig())
	pool := peer.PoolConfig{Clock: s.config.Clock, Log: s.config.Log, Credentials: mutualTLS.ClientCredentials()}
	s.requestPool = peer.NewPool(pool)
	s.meter = meter.New(meter.Config{Registerer: s.registry})
	pool.Dial = s.meter.Dialer("entry")
	s.controlPool = peer.NewPool(pool)
	if err := s.buildControlPlane(); err != nil {
		return err
	}
	s.buildDataPath()
	s.buildIdempotency()
	s.buildServers(mutualTLS)
	if disableGuards != nil {
		disableGuards(s)
	}
	return nil
}

func (s *Server) buildTLS() (*securer.Securer, error) {
	files := securer.Config{CertFile: s.config.TLSCert, KeyFile: s.config.TLSKey, CAFile: s.config.TLSCA}
	if !files.IsSet() {
		return nil, nil
	}
	return securer.New(files)
}

func (s *Server) decisionConfig() logger.Config {
	config := logger.Config{Log: s.config.Log, Clock: s.config.Clock}
	switch s.config.DecisionLog {
	case DecisionLogOff:
		config.Log = nil
	case DecisionLogSampled:
		config.Sample = sampleEvery
	}
	return config
}

// buildControlPlane creates the components that track the configuration, the fleet membership and the sites that this
// entry owns.
func (s *Server) buildControlPlane() error {
	store, err := platform.New(platform.Config{
		URL: s.config.PlatformURL, Timeout: s.config.PlatformTimeout, Clock: s.config.Clock,
		Registerer: s.registry, Log: s.config.Log, Dial: s.meter.Dialer("platform"),
	})
	if err != nil {
		return err
	}
	s.store = store
	s.configHolder = configholder.New(configholder.Config{Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry})
	s.configWriter = configwriter.New(configwriter.Config{Store: store, Clock: s.config.Clock, Log: s.config.Log})
	s.monitor = monitor.New(monitor.Config{
		Self: s.self, Store: store, Pool: s.controlPool, Clock: s.config.Clock, Log: s.config.Log,
		Registerer: s.registry, Seeds: s.config.Seeds, Incarnation: s.incarnation,
	})
	s.relayer = relayer.New(relayer.Config{
		Self: s.self, ConfigHolder: s.configHolder, Fleet: s.monitor, Members: s.monitor, Store: store, Pool: s.controlPool,
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
	})
	s.assigner = assigner.New(assigner.Config{
		Self: s.self, Fleet: s.monitor, Terms: s.monitor, Pool: s.controlPool, Clock: s.config.Clock,
		InProgress: s.siteInProgress, Log: s.config.Log, Registerer: s.registry,
	})
	return nil
}

// buildDataPath creates the components that route, queue and retry requests and forward them to upstreams.
func (s *Server) buildDataPath() {
	s.upstreams = upstream.New(upstream.Config{
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
		LoadPath: s.config.LoadPath, ProbePath: s.config.ProbePath,
	})
	s.recorder = recorder.New(recorder.Config{
		Clock: s.config.Clock, Registerer: s.registry, Incarnation: s.incarnation,
	})
	s.granter = granter.New(granter.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Decisions: s.decisions, Registerer: s.registry,
		Fleet: s.monitor, Configuration: s.configHolder, Assigner: s.assigner, Loads: dispatcherLoads{s},
	})
	s.dispatcher = dispatcher.New(dispatcher.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Log: s.config.Log, Decisions: s.decisions,
		Registerer: s.registry, Fleet: s.monitor, Configuration: s.configHolder, Assigner: s.assigner,
		Grants: s.granter, Recorder: s.recorder, Upstreams: s.upstreams,
	})
	s.credits = granter.NewCreditPool(granter.CreditPoolConfig{
		Self: s.self, Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry, Fleet: s.monitor,
		Owners: s.assigner, Asker: granter.NewPeerClient(s.controlPool), Observe: s.observeLoad,
	})
	s.router = router.New(router.Config{
		Self: s.self, Fleet: s.monitor, Configuration: s.configHolder, Credits: s.credits,
		Random: rand.NewPCG(s.incarnation, 0),
	})
	s.remoteDispatchers = sender.NewPeerClient(s.requestPool)
	s.sender = sender.New(sender.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Log: s.config.Log, Decisions: s.decisions,
		Fleet: s.monitor, Configuration: s.configHolder, Budget: retrylimiter.New(retrylimiter.Config{Registerer: s.registry}), Owners: s.assigner, Local: s.dispatcher, Remote: s.remoteDispatchers,
		Chooser: s.router,
	})
}

// buildIdempotency creates the components that deduplicate requests by idempotency key, on top of the sender.
func (s *Server) buildIdempotency() {
	s.deduplicator = deduplicator.New(deduplicator.Config{
		Self: s.self, Incarnation: s.incarnation, Store: s.store, Fleet: s.monitor, Configuration: s.configHolder,
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
	})
	s.keyRouter = deduplicator.NewRouter(deduplicator.RouterConfig{
		Self: s.self, Fleet: s.monitor, Deduplicator: s.deduplicator, Remote: deduplicator.NewPeerClient(s.requestPool),
		Run: func(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
			return s.sender.Send(ctx, request), nil
		},
		Clock: s.config.Clock, Log: s.config.Log,
	})
}

// Send implements caller.Sender. A non-idempotent request with an idempotency key is routed through the key's home
// entry.
func (s *Server) Send(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if request.Idempotent || request.IdempotencyKey == "" {
		return s.sender.Send(ctx, request)
	}
	return s.keyRouter.Route(ctx, request)
}

// closeConnectionsWhileStopping asks callers to close their connections during a planned stop. Otherwise a caller
// could send a request on an idle connection that the server is about to close.
func (s *Server) closeConnectionsWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// siteInProgress returns the number of exchanges in progress for the site at this entry. It looks up the dispatcher
// on each call because the assigner, which calls it, is created first.
func (s *Server) siteInProgress(site eelgrassbeam.Site) int {
	return s.dispatcher.SiteInProgress(site)
}

// observeLoad passes a site's load to the router. It looks up the router on each call because the credit pool,
// which calls it, is created first.
func (s *Server) observeLoad(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time) {
	s.router.Observe(site, load, now)
}

// dispatcherLoads implements granter.Loads. It looks up the dispatcher on each call because the granter is created
// first.
type dispatcherLoads struct{ server *Server }

// SiteLoad implements granter.Loads.
func (l dispatcherLoads) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	return l.server.dispatcher.SiteLoad(site)
}

// buildServers creates the servers for callers, operators and peers.
func (s *Server) buildServers(mutualTLS *securer.Securer) {
	requests := caller.New(caller.Config{
		Self: s.self, Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
		Configuration: s.configHolder, Sender: s, TimeLimit: s.requestTimeLimit,
	})
	lookups := caller.NewLookup(caller.LookupConfig{
		Self: s.self, Clock: s.config.Clock, Decisions: s.decisions, Fleet: s.monitor, Configuration: s.configHolder,
		Resolver: resolver.New(resolver.Config{Registerer: s.registry}), Requests: requests,
	})
	s.callerServer = &http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, Handler: s.closeConnectionsWhileStopping(lookups),
	}
	s.operatorServer = &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: operator.New(operator.Config{
		Backend: s, Log: s.config.Log, Clock: s.config.Clock, Health: http.HandlerFunc(s.serveHealth),
		Ready: http.HandlerFunc(s.serveReady), Metrics: promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}),
	})}
	s.operatorServer.TLSConfig = mutualTLS.ServerTLS()
	s.peerServer = peer.NewServer(peer.ServerConfig{Credentials: mutualTLS.ServerCredentials()})
	peer.RegisterPing(s.peerServer)
	sender.Register(s.peerServer, s.dispatcher)
	deduplicator.Register(s.peerServer, s.keyRouter)
	s.monitor.Register(s.peerServer)
	s.relayer.Register(s.peerServer)
	s.assigner.Register(s.peerServer)
	granter.Register(s.peerServer, s.granter)
}
