package dispatcher

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

const (
	// reconcileInterval is the time between comparisons of the sites with the fleet and the configuration.
	reconcileInterval = 100 * time.Millisecond
	// leavingMemory is how long an upstream's own word that it leaves holds against the platform's lagging list.
	leavingMemory = 30 * time.Second
)

// site is the queue of one site that the entry dispatches for.
type site struct {
	queue   *admitter.Admitter
	service eelgrassbeam.Service
}

// Run keeps the sites in step with the fleet, the configuration and the roles until the context ends; then it
// refuses the requests that wait.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.follow(ctx) })
	group.Go(func() error { return d.probe(ctx) })
	return group.Wait()
}

func (d *Dispatcher) follow(ctx context.Context) error {
	for {
		d.reconcile()
		select {
		case <-ctx.Done():
			d.closeAll()
			return nil
		case <-d.config.Clock.After(reconcileInterval):
		}
	}
}

func (d *Dispatcher) reconcile() {
	configuration, ok := d.config.Configuration.Configuration()
	if !ok {
		return
	}
	fleet, now := d.config.Fleet.Fleet(), d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLeft(now)
	owned := make(map[eelgrassbeam.Site]bool)
	for _, service := range configuration.Defaults.Services {
		for _, located := range fleet.ServiceSites(service.Name) {
			since, ok := d.config.Assigner.MayDispatch(fleet, located.Site, now)
			if !ok {
				continue
			}
			owned[located.Site] = true
			d.reconcileSite(configuration, fleet, service, located.Site, since, now)
		}
	}
	for key, s := range d.sites {
		if !owned[key] {
			s.queue.Close()
			delete(d.sites, key)
			d.logRole(key, "released")
		}
	}
}

func (d *Dispatcher) reconcileSite(
	configuration *eelgrassbeam.Configuration, fleet *eelgrassbeam.Fleet, service eelgrassbeam.Service,
	key eelgrassbeam.Site, since, now time.Time,
) {
	s, ok := d.sites[key]
	if ok && !reflect.DeepEqual(s.service, service) {
		s.queue.Close()
		ok = false
	}
	if !ok {
		s = &site{service: service, queue: admitter.New(admitter.Config{
			Service: service, Weights: configuration.Defaults.CustomerWeights, Clock: d.config.Clock,
		})}
		d.sites[key] = s
		d.logRole(key, "taken")
	}
	var upstreams []admitter.UpstreamSlots
	for _, u := range fleet.SiteUpstreams(key) {
		if slots := d.slots(configuration, service, u, since, now); slots > 0 {
			upstreams = append(upstreams, admitter.UpstreamSlots{Upstream: u, Slots: slots})
		}
	}
	s.queue.SetUpstreams(upstreams)
	d.metrics.load(key, s.queue.Load())
}

// slots returns how many requests may be in progress at the upstream, 0 for none.
func (d *Dispatcher) slots(
	configuration *eelgrassbeam.Configuration, service eelgrassbeam.Service, u eelgrassbeam.Upstream, since, now time.Time,
) int {
	_, leaves := d.leaving[u.ID]
	if leaves || u.State != eelgrassbeam.InstanceLive || configuration.IsUpstreamDrained(u, now) {
		return 0
	}
	slots := service.SlotsPerUpstream
	if exception, ok := configuration.Exception(eelgrassbeam.SettingSlots, eelgrassbeam.TargetUpstream, string(u.ID), now); ok {
		slots = int(exception.Number())
	}
	return slots
}

func (d *Dispatcher) markLeaving(id eelgrassbeam.UpstreamID) {
	now := d.config.Clock.Now()
	d.mu.Lock()
	_, known := d.leaving[id]
	d.leaving[id] = now
	d.mu.Unlock()
	if known {
		return
	}
	d.config.Log.WithFields(logrus.Fields{"event": "upstream_leaving", "upstream": id, "source": "upstream"}).Info("")
	d.reconcile()
}

// unmarkLeaving takes back the upstream's word if it was given before the time.
func (d *Dispatcher) unmarkLeaving(id eelgrassbeam.UpstreamID, before time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.leaving[id]; ok && at.Before(before) {
		delete(d.leaving, id)
	}
}

func (d *Dispatcher) forgetLeft(now time.Time) {
	for id, at := range d.leaving {
		if now.Sub(at) > leavingMemory {
			delete(d.leaving, id)
		}
	}
}

func (d *Dispatcher) site(key eelgrassbeam.Site) (*site, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.sites[key]
	return s, ok
}

// SiteInProgress counts the exchanges with the site's upstreams, from the last check of the role to their end.
func (d *Dispatcher) SiteInProgress(key eelgrassbeam.Site) int { return int(d.count(key).Load()) }

// InProgress counts the exchanges with all upstreams.
func (d *Dispatcher) InProgress() int { return int(d.started.Load()) }

// count returns the site's counter of exchanges, which outlives the role.
func (d *Dispatcher) count(key eelgrassbeam.Site) *atomic.Int64 {
	counter, _ := d.counts.LoadOrStore(key, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// IsLeaving tells whether the upstream said itself that it leaves.
func (d *Dispatcher) IsLeaving(id eelgrassbeam.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.leaving[id]
	return ok
}

// Loads returns the load of each site that the entry dispatches for.
func (d *Dispatcher) Loads() map[eelgrassbeam.Site]eelgrassbeam.SiteLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[eelgrassbeam.Site]eelgrassbeam.SiteLoad, len(d.sites))
	for key, s := range d.sites {
		loads[key] = s.queue.Load()
	}
	return loads
}

// Served counts the exchanges since the start.
func (d *Dispatcher) Served() int64 { return d.served.Load() }

func (d *Dispatcher) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sites {
		s.queue.Close()
	}
}

func (d *Dispatcher) logRole(key eelgrassbeam.Site, change string) {
	d.config.Decisions.Record(logger.Decision{
		Kind: logger.KindTerm, Choice: key.String(), Reason: change, Versions: d.versions(),
	})
}

func (d *Dispatcher) versions() logger.Versions {
	versions := logger.Versions{Fleet: d.config.Fleet.Fleet().Revision}
	if configuration, ok := d.config.Configuration.Configuration(); ok {
		versions.Configuration = configuration.Version
	}
	return versions
}
