package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/dispatchserver"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	seed              = 1
)

// Location is an availability zone and its region.
type Location struct {
	Zone   eelgrassbeam.ZoneID
	Region eelgrassbeam.RegionID
}

// Plan describes the size and the configuration of a system.
type Plan struct {
	// Locations are assigned to entries and upstreams in rotation.
	Locations []Location
	// Entries is the number of entry instances.
	Entries int
	// Upstreams is the number of backend servers of each service.
	Upstreams map[eelgrassbeam.ServiceName]int
	// ServiceTime is the mean service time of a request at a backend server.
	ServiceTime    time.Duration
	ConnectionCost time.Duration
	ProbeCost      time.Duration
	Configuration  eelgrassbeam.Configuration
}

// system is a running platform stand-in with entries and backend servers.
type system struct {
	plan     Plan
	clock    eelgrassbeam.Clock
	log      logrus.FieldLogger
	platform *standin.Platform
	url      string
	backends []*standin.Backend
	entries  []*entryNode
	servers  []*http.Server
	// regionServers are the HTTP servers of the backend servers in each region.
	regionServers map[eelgrassbeam.RegionID][]*http.Server
	group         *errgroup.Group
	cancel        context.CancelFunc
	instances     []eelgrassbeam.Instance
}

// entryNode is an entry with its location and the function that stops it at once, without draining.
type entryNode struct {
	*dispatchserver.Server
	location Location
	kill     context.CancelFunc
}

// start starts the platform stand-in, the backend servers and the entries, and waits until the entries are ready. If
// that fails, it stops them again.
func start(ctx context.Context, plan Plan, clock eelgrassbeam.Clock, log logrus.FieldLogger) (*system, error) {
	s := &system{
		plan: plan, clock: clock, log: log, platform: standin.NewPlatform(standin.PlatformConfig{Clock: clock}),
		regionServers: make(map[eelgrassbeam.RegionID][]*http.Server),
	}
	ctx, s.cancel = context.WithCancel(ctx)
	s.group, ctx = errgroup.WithContext(ctx)
	if err := s.startComponents(ctx); err != nil {
		return nil, errors.Join(err, s.stop())
	}
	return s, nil
}

func (s *system) startComponents(ctx context.Context) error {
	address, err := s.serve(s.platform.Server())
	if err != nil {
		return err
	}
	s.url = "http://" + address.String()
	for service, count := range s.plan.Upstreams {
		if err := s.startBackends(service, count); err != nil {
			return err
		}
	}
	for n := range s.plan.Entries {
		if err := s.startEntry(ctx, n); err != nil {
			return err
		}
	}
	for _, row := range s.instances {
		s.platform.PutInstance(row)
	}
	if err := s.storeConfiguration(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// stop stops all components, waits for them and returns their first error.
func (s *system) stop() error {
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	return s.group.Wait()
}

func (s *system) locationOf(n int) Location { return s.plan.Locations[n%len(s.plan.Locations)] }

func (s *system) startBackends(service eelgrassbeam.ServiceName, count int) error {
	settings, _ := s.plan.Configuration.Defaults.Service(service)
	for n := range count {
		id := fmt.Sprintf("%s-%02d", service, n)
		backend := standin.NewBackend(standin.BackendConfig{
			ID: eelgrassbeam.UpstreamID(id), Service: service, Slots: settings.SlotsPerUpstream,
			ConnectionLimit: settings.ConnectionsPerUpstream, ServiceTime: s.plan.ServiceTime,
			ConnectionCost: s.plan.ConnectionCost, ProbeCost: s.plan.ProbeCost, Seed: seed + uint64(n), Clock: s.clock,
		})
		server := backend.Server()
		address, err := s.serve(server)
		if err != nil {
			return err
		}
		s.regionServers[s.locationOf(n).Region] = append(s.regionServers[s.locationOf(n).Region], server)
		s.backends = append(s.backends, backend)
		s.instances = append(s.instances, eelgrassbeam.Instance{
			ID: id, Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive,
			Zone: s.locationOf(n).Zone, Region: s.locationOf(n).Region, Service: service, Address: address,
		})
	}
	return nil
}

func (s *system) startEntry(ctx context.Context, n int) error {
	location, loopback := s.locationOf(n), netip.MustParseAddrPort("127.0.0.1:0")
	entry, err := dispatchserver.New(dispatchserver.Config{
		ID: eelgrassbeam.EntryID(fmt.Sprintf("entry-%02d", n)), Zone: location.Zone, Region: location.Region, Version: "demo",
		CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
		PlatformURL: s.url, PlatformTimeout: time.Second, StopTimeout: time.Minute,
		LoadPath: "/standin/load", ProbePath: "/standin/health", DecisionLog: dispatchserver.DecisionLogOff,
		Clock: s.clock, Log: s.log,
	})
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(ctx)
	s.entries = append(s.entries, &entryNode{Server: entry, location: location, kill: kill})
	s.group.Go(func() error { return entry.Run(ctx, nil) })
	self := entry.Entry()
	s.instances = append(s.instances, eelgrassbeam.Instance{
		ID: string(self.ID), Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive, Zone: location.Zone, Region: location.Region,
		Address: self.Address, PeerAddress: self.PeerAddress, OperatorAddress: self.OperatorAddress,
	})
	return nil
}

func (s *system) serve(server *http.Server) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	s.servers = append(s.servers, server)
	s.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (s *system) storeConfiguration(ctx context.Context) error {
	value, err := json.Marshal(s.plan.Configuration)
	if err != nil {
		return err
	}
	store, err := platform.New(platform.Config{URL: s.url, Clock: s.clock, Log: s.log})
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, "configuration", "fleet", value)
	return err
}

func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range s.entries {
		for !entry.IsReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %s did not become ready: %w", entry.Entry().ID, ctx.Err())
			case <-s.clock.After(readyPollInterval):
			}
		}
	}
	return nil
}

// addresses returns the addresses at which the entries accept callers' requests.
func (s *system) addresses() []string {
	var addresses []string
	for _, entry := range s.entries {
		addresses = append(addresses, entry.Entry().Address.String())
	}
	return addresses
}

// executions returns how often each request, by id, was executed at all backend servers together.
func (s *system) executions() map[string]int {
	runs := make(map[string]int)
	for _, backend := range s.backends {
		for id, n := range backend.Counts().Executions {
			runs[id] += n
		}
	}
	return runs
}
