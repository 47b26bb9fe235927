package dispatchserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
	"github.com/eelgrassbeam/eelgrassbeam/deduplicator"
	"github.com/eelgrassbeam/eelgrassbeam/dispatcher"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/meter"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/recorder"
	"github.com/eelgrassbeam/eelgrassbeam/relayer"
	"github.com/eelgrassbeam/eelgrassbeam/router"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

// sampleEvery is the sampling interval of DecisionLogSampled: one decision in sampleEvery is logged.
const sampleEvery = 100

// Server is one entry instance, with its servers and background components.
type Server struct {
	config      Config
	self        eelgrassbeam.Entry
	incarnation uint64
	registry    *prometheus.Registry

	decisions *logger.Logger
	meter     *meter.Meter
	// requestPool carries requests and controlPool heartbeats and other control traffic, so that neither delays the
	// other.
	requestPool, controlPool *peer.Pool
	store                    *platform.Client
	configHolder             *configholder.ConfigHolder
	configWriter             *configwriter.ConfigWriter
	monitor                  *monitor.Monitor
	relayer                  *relayer.Relayer
	assigner                 *assigner.Assigner
	upstreams                *upstream.Client
	recorder                 *recorder.Recorder
	dispatcher               *dispatcher.Dispatcher
	granter                  *granter.Granter
	credits                  *granter.CreditPool
	router                   *router.Router
	remoteDispatchers        *sender.PeerClient
	sender                   *sender.Sender
	deduplicator             *deduplicator.Deduplicator
	keyRouter                *deduplicator.Router

	callerServer, operatorServer *http.Server
	peerServer                   *grpc.Server
	listeners                    listeners
	stopping                     atomic.Bool
	// stopEnd is when a planned stop times out; nil before one has begun.
	stopEnd atomic.Pointer[time.Time]
}

// listeners holds the listeners of an entry, one each for callers, peers and operators.
type listeners struct{ caller, peer, operator net.Listener }

// New opens the listeners and creates the components; Run starts them. The error for an address that cannot be bound
// wraps ErrListen.
func New(config Config) (*Server, error) {
	s := &Server{
		config:      config,
		incarnation: uint64(config.Clock.Now().UnixNano()),
		registry:    prometheus.NewRegistry(),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.self = eelgrassbeam.Entry{
		ID: config.ID, Zone: config.Zone, Region: config.Region, State: eelgrassbeam.InstanceLive,
		Address: addressOf(s.listeners.caller), PeerAddress: addressOf(s.listeners.peer),
		OperatorAddress: addressOf(s.listeners.operator),
	}
	s.config.Log = config.Log.WithField("entry", string(config.ID))
	if err := s.build(); err != nil {
		s.listeners.close()
		return nil, err
	}
	s.config.Log.WithFields(logrus.Fields{
		"event": "listening", "caller": s.self.Address, "peer": s.self.PeerAddress, "operator": s.self.OperatorAddress,
		"zone": s.self.Zone, "region": s.self.Region, "incarnation": s.incarnation, "version": config.Version,
	}).Info("")
	return s, nil
}

// Entry returns this entry with the addresses that its listeners are bound to.
func (s *Server) Entry() eelgrassbeam.Entry { return s.self }

func (s *Server) listen() error {
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		target  *net.Listener
	}{
		{"callers", s.config.CallerAddress, &s.listeners.caller},
		{"peers", s.config.PeerAddress, &s.listeners.peer},
		{"operators", s.config.OperatorAddress, &s.listeners.operator},
	} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.address.String())
		if err != nil {
			s.listeners.close()
			return oops.In("steerer").With("listener", l.name, "address", l.address).Wrap(fmt.Errorf("%w: %w", ErrListen, err))
		}
		*l.target = listener
	}
	return nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}
