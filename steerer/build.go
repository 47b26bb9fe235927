package steerer

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
	"github.com/eelgrassbeam/eelgrassbeam/changer"
	"github.com/eelgrassbeam/eelgrassbeam/dispatcher"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/holder"
	"github.com/eelgrassbeam/eelgrassbeam/keeper"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/meter"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/placer"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/recorder"
	"github.com/eelgrassbeam/eelgrassbeam/relayer"
	"github.com/eelgrassbeam/eelgrassbeam/retrier"
	"github.com/eelgrassbeam/eelgrassbeam/router"
	"github.com/eelgrassbeam/eelgrassbeam/securer"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// headerTimeout bounds the time for a request's header.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout closes callers' connections that are idle.
	callerIdleTimeout = 2 * time.Minute
)

// unguard turns guards off; nil but in builds for tests.
var unguard func(s *Steerer)

// build puts the parts together from the bottom up.
func (s *Steerer) build() error {
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	secure, err := s.buildTLS()
	if err != nil {
		return err
	}
	s.decisions = logger.New(s.decisionConfig())
	pool := peer.PoolConfig{Clock: s.config.Clock, Log: s.config.Log, Credentials: secure.ClientCredentials()}
	s.pool = peer.NewPool(pool)
	s.meter = meter.New(meter.Config{Registerer: s.registry})
	pool.Dial = s.meter.Dialer("entry")
	s.control = peer.NewPool(pool)
	if err := s.buildState(); err != nil {
		return err
	}
	s.buildRequests()
	s.buildKeys()
	s.buildServers(secure)
	if unguard != nil {
		unguard(s)
	}
	return nil
}

func (s *Steerer) buildTLS() (*securer.Securer, error) {
	files := securer.Config{CertFile: s.config.TLSCert, KeyFile: s.config.TLSKey, CAFile: s.config.TLSCA}
	if !files.IsSet() {
		return nil, nil
	}
	return securer.New(files)
}

func (s *Steerer) decisionConfig() logger.Config {
	config := logger.Config{Log: s.config.Log, Clock: s.config.Clock}
	switch s.config.DecisionLog {
	case DecisionLogOff:
		config.Log = nil
	case DecisionLogSampled:
		config.Sample = sampleEvery
	}
	return config
}

// buildState builds what the entry knows: the configuration, the fleet and its own roles.
func (s *Steerer) buildState() error {
	store, err := platform.New(platform.Config{
		URL: s.config.PlatformURL, Timeout: s.config.PlatformTimeout, Clock: s.config.Clock,
		Registerer: s.registry, Log: s.config.Log, Dial: s.meter.Dialer("platform"),
	})
	if err != nil {
		return err
	}
	s.store = store
	s.holder = holder.New(holder.Config{Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry})
	s.changer = changer.New(changer.Config{Store: store, Clock: s.config.Clock, Log: s.config.Log})
	s.monitor = monitor.New(monitor.Config{
		Self: s.self, Store: store, Pool: s.control, Clock: s.config.Clock, Log: s.config.Log,
		Registerer: s.registry, Seeds: s.config.Seeds, Incarnation: s.incarnation,
	})
	s.relayer = relayer.New(relayer.Config{
		Self: s.self, Holder: s.holder, Fleet: s.monitor, Members: s.monitor, Store: store, Pool: s.control,
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
	})
	s.assigner = assigner.New(assigner.Config{
		Self: s.self, Fleet: s.monitor, Terms: s.monitor, Pool: s.control, Clock: s.config.Clock,
		InProgress: s.siteInProgress, Log: s.config.Log, Registerer: s.registry,
	})
	return nil
}

// buildRequests builds the path of a request from the caller's handler down to the upstream.
func (s *Steerer) buildRequests() {
	s.upstreams = upstream.New(upstream.Config{
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
		LoadPath: s.config.LoadPath, ProbePath: s.config.ProbePath,
	})
	s.recorder = recorder.New(recorder.Config{
		Clock: s.config.Clock, Registerer: s.registry, Incarnation: s.incarnation,
	})
	s.granter = granter.New(granter.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Decisions: s.decisions, Registerer: s.registry,
		Fleet: s.monitor, Configuration: s.holder, Tenures: s.assigner, Loads: loads{s},
	})
	s.dispatcher = dispatcher.New(dispatcher.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Log: s.config.Log, Decisions: s.decisions,
		Registerer: s.registry, Fleet: s.monitor, Configuration: s.holder, Assigner: s.assigner,
		Grants: s.granter, Recorder: s.recorder, Upstreams: s.upstreams,
	})
	s.wallet = granter.NewWallet(granter.WalletConfig{
		Self: s.self, Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry, Fleet: s.monitor,
		Owners: s.assigner, Asker: granter.NewPeers(s.control), Observe: s.observeLoad,
	})
	s.router = router.New(router.Config{
		Self: s.self, Fleet: s.monitor, Configuration: s.holder, Credits: s.wallet,
		Random: rand.NewPCG(s.incarnation, 0),
	})
	s.remote = sender.NewPeers(s.pool)
	s.sender = sender.New(sender.Config{
		Self: s.self, Incarnation: s.incarnation, Clock: s.config.Clock, Log: s.config.Log, Decisions: s.decisions,
		Fleet: s.monitor, Configuration: s.holder, Budget: retrier.New(retrier.Config{Registerer: s.registry}), Owners: s.assigner, Local: s.dispatcher, Remote: s.remote,
		Chooser: s.router,
	})
}

// buildKeys builds the homes of idempotency keys over the sender.
func (s *Steerer) buildKeys() {
	s.keeper = keeper.New(keeper.Config{
		Self: s.self, Incarnation: s.incarnation, Store: s.store, Fleet: s.monitor, Configuration: s.holder,
		Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
	})
	s.keys = keeper.NewRouter(keeper.RouterConfig{
		Self: s.self, Fleet: s.monitor, Keeper: s.keeper, Remote: keeper.NewPeers(s.pool),
		Run: func(ctx context.Context, request eelgrassbeam.Request) (eelgrassbeam.Reply, error) {
			return s.sender.Send(ctx, request), nil
		},
		Clock: s.config.Clock, Log: s.config.Log,
	})
}

// Send implements caller.Sender: a non-idempotent request with a key goes by the key's home.
func (s *Steerer) Send(ctx context.Context, request eelgrassbeam.Request) eelgrassbeam.Reply {
	if request.Idempotent || request.IdempotencyKey == "" {
		return s.sender.Send(ctx, request)
	}
	return s.keys.Route(ctx, request)
}

// closeWhileStopping asks callers to close their connections during a planned stop, so that none sends a request on a
// connection that is about to be closed as idle.
func (s *Steerer) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// siteInProgress counts the site's exchanges at this entry's dispatcher, which is built after the assigner.
func (s *Steerer) siteInProgress(site eelgrassbeam.Site) int {
	return s.dispatcher.SiteInProgress(site)
}

// observeLoad tells the router, which is built after the wallet, a site's load.
func (s *Steerer) observeLoad(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time) {
	s.router.Observe(site, load, now)
}

// loads asks the dispatcher, which is built after the granter, for loads.
type loads struct{ steerer *Steerer }

// SiteLoad implements granter.Loads.
func (l loads) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	return l.steerer.dispatcher.SiteLoad(site)
}

// buildServers builds the handlers of the three listeners.
func (s *Steerer) buildServers(secure *securer.Securer) {
	requests := caller.New(caller.Config{
		Self: s.self, Clock: s.config.Clock, Log: s.config.Log, Registerer: s.registry,
		Configuration: s.holder, Sender: s,
	})
	lookups := caller.NewLookup(caller.LookupConfig{
		Self: s.self, Clock: s.config.Clock, Decisions: s.decisions, Fleet: s.monitor, Configuration: s.holder,
		Placer: placer.New(placer.Config{Registerer: s.registry}), Requests: requests,
	})
	s.callers = &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, Handler: s.closeWhileStopping(lookups),
	}
	s.operators = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: operator.New(operator.Config{
		Backend: s, Log: s.config.Log, Clock: s.config.Clock, Health: http.HandlerFunc(s.serveHealth),
		Ready: http.HandlerFunc(s.serveReady), Metrics: promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}),
	})}
	s.operators.TLSConfig = secure.ServerTLS()
	s.peers = peer.NewServer(secure.ServerCredentials())
	peer.RegisterPing(s.peers)
	sender.Register(s.peers, s.dispatcher)
	keeper.Register(s.peers, s.keys)
	s.monitor.Register(s.peers)
	s.relayer.Register(s.peers)
	s.assigner.Register(s.peers)
	granter.Register(s.peers, s.granter)
}
