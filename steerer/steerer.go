package steerer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
	"github.com/eelgrassbeam/eelgrassbeam/changer"
	"github.com/eelgrassbeam/eelgrassbeam/dispatcher"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/holder"
	"github.com/eelgrassbeam/eelgrassbeam/keeper"
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

// sampleEvery is the share of decisions that a sampled log takes, one in so many.
const sampleEvery = 100

// Steerer is one entry instance.
type Steerer struct {
	config      Config
	self        eelgrassbeam.Entry
	incarnation uint64
	registry    *prometheus.Registry

	decisions *logger.Logger
	meter     *meter.Meter
	// pool carries requests, control heartbeats and the like, so that neither waits for the other.
	pool, control *peer.Pool
	store         *platform.Client
	holder        *holder.Holder
	changer       *changer.Changer
	monitor       *monitor.Monitor
	relayer       *relayer.Relayer
	assigner      *assigner.Assigner
	upstreams     *upstream.Client
	recorder      *recorder.Recorder
	dispatcher    *dispatcher.Dispatcher
	granter       *granter.Granter
	wallet        *granter.Wallet
	router        *router.Router
	remote        *sender.Peers
	sender        *sender.Sender
	keeper        *keeper.Keeper
	keys          *keeper.Router

	callers, operators *http.Server
	peers              *grpc.Server
	listeners          listeners
	stopping           atomic.Bool
}

// listeners are the three sockets of an entry.
type listeners struct{ caller, peer, operator net.Listener }

// New opens the sockets and puts the parts together; Run starts them.
func New(config Config) (*Steerer, error) {
	s := &Steerer{
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

// Entry returns the entry with the addresses that it listens on.
func (s *Steerer) Entry() eelgrassbeam.Entry { return s.self }

func (s *Steerer) listen() error {
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
