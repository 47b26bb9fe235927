// Package demonstrator runs the whole system on embedded stand-ins over loopback sockets for a bounded time.
package demonstrator

import (
	"context"
	_ "embed" // the configuration of the demonstration
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
	"github.com/eelgrassbeam/eelgrassbeam/steerer"
)

const (
	readyTimeout  = 10 * time.Second
	readyPoll     = 20 * time.Millisecond
	requestCount  = 4000
	callerCount   = 24
	serviceTime   = 5 * time.Millisecond
	backendsASite = 2
	seed          = 1
)

//go:embed fleet.json
var fleetJSON []byte

// ErrBroken reports that the load found a broken promise.
var ErrBroken = errors.New("a promise was broken")

// Config configures a Demonstrator.
type Config struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// Output receives the report.
	Output io.Writer
	// Requests is the size of the load, 4000 where zero.
	Requests int
}

// Demonstrator is the whole system in one process.
type Demonstrator struct {
	config   Config
	platform *standin.Platform
	url      string
	backends []*standin.Backend
	entries  []*steerer.Steerer
	servers  []*http.Server
	group    *errgroup.Group
}

// New returns a Demonstrator; Run starts it.
func New(config Config) *Demonstrator {
	if config.Requests == 0 {
		config.Requests = requestCount
	}
	return &Demonstrator{config: config}
}

// place is an availability zone in its region.
type place struct {
	zone   eelgrassbeam.ZoneID
	region eelgrassbeam.RegionID
}

var places = []place{
	{"sierra-norte-1", "sierra-norte"}, {"sierra-norte-2", "sierra-norte"}, {"austro-1", "austro"}, {"austro-2", "austro"},
}

// Run starts all parts, sends the load, prints the report and stops the parts.
func (d *Demonstrator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.group, ctx = errgroup.WithContext(ctx)
	if err := d.start(ctx); err != nil {
		cancel()
		return errors.Join(err, d.group.Wait())
	}
	report, err := d.load(ctx)
	if err == nil {
		err = d.report(report)
	}
	cancel()
	for _, server := range d.servers {
		_ = server.Close()
	}
	return errors.Join(err, d.group.Wait())
}

func (d *Demonstrator) start(ctx context.Context) error {
	d.platform = standin.NewPlatform(standin.PlatformConfig{Clock: d.config.Clock})
	address, err := d.serve(d.platform.Server())
	if err != nil {
		return err
	}
	d.url = "http://" + address.String()
	rows, err := d.startBackends()
	if err != nil {
		return err
	}
	for i, p := range append(places, places...) {
		row, err := d.startEntry(ctx, i, p)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	for _, row := range rows {
		d.platform.PutInstance(row)
	}
	if err := d.storeConfiguration(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

func (d *Demonstrator) startBackends() ([]eelgrassbeam.Instance, error) {
	var rows []eelgrassbeam.Instance
	for _, service := range []eelgrassbeam.ServiceName{"booking", "events"} {
		for _, p := range places {
			for n := range backendsASite {
				id := fmt.Sprintf("%s-%s-%d", service, p.zone, n)
				backend := standin.NewBackend(standin.BackendConfig{
					ID: eelgrassbeam.UpstreamID(id), Service: service, ServiceTime: serviceTime,
					ConnectionCost: time.Millisecond, Seed: seed, Clock: d.config.Clock,
				})
				address, err := d.serve(backend.Server())
				if err != nil {
					return nil, err
				}
				d.backends = append(d.backends, backend)
				rows = append(rows, eelgrassbeam.Instance{
					ID: id, Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive,
					Zone: p.zone, Region: p.region, Service: service, Address: address,
				})
			}
		}
	}
	return rows, nil
}

func (d *Demonstrator) startEntry(ctx context.Context, n int, p place) (eelgrassbeam.Instance, error) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	entry, err := steerer.New(steerer.Config{
		ID: eelgrassbeam.EntryID(fmt.Sprintf("entry-%d", n+1)), Zone: p.zone, Region: p.region, Version: "demo",
		CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
		PlatformURL: d.url, PlatformTimeout: time.Second, StopTimeout: time.Second,
		LoadPath: "/standin/load", ProbePath: "/standin/health", DecisionLog: steerer.DecisionLogOff,
		Clock: d.config.Clock, Log: d.config.Log,
	})
	if err != nil {
		return eelgrassbeam.Instance{}, err
	}
	d.entries = append(d.entries, entry)
	d.group.Go(func() error { return entry.Run(ctx, nil) })
	self := entry.Entry()
	return eelgrassbeam.Instance{
		ID: string(self.ID), Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive, Zone: p.zone, Region: p.region,
		Address: self.Address, PeerAddress: self.PeerAddress, OperatorAddress: self.OperatorAddress,
	}, nil
}

func (d *Demonstrator) serve(server *http.Server) (netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	d.servers = append(d.servers, server)
	d.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (d *Demonstrator) storeConfiguration(ctx context.Context) error {
	var configuration eelgrassbeam.Configuration
	if err := json.Unmarshal(fleetJSON, &configuration); err != nil {
		return err
	}
	store, err := platform.New(platform.Config{URL: d.url, Clock: d.config.Clock, Log: d.config.Log})
	if err != nil {
		return err
	}
	_, err = store.Create(ctx, "configuration", "fleet", fleetJSON)
	return err
}

func (d *Demonstrator) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, entry := range d.entries {
		for !entry.IsReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %s is not ready: %w", entry.Entry().ID, ctx.Err())
			case <-d.config.Clock.After(readyPoll):
			}
		}
	}
	return nil
}
