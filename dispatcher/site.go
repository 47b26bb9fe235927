package dispatcher

import (
	"context"
	"maps"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
	"github.com/eelgrassbeam/eelgrassbeam/ejector"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/slowstarter"
)

const (
	// reconcileInterval is the time between reconciliations of the sites with the fleet and the configuration.
	reconcileInterval = 100 * time.Millisecond
	// leavingTTL is how long an upstream's announcement that it is leaving overrides the platform's list, which lags.
	leavingTTL = 30 * time.Second
)

// site is the state of one site that the entry dispatches for.
type site struct {
	queue       *admitter.Admitter
	ejector     *ejector.Ejector
	slowStarter *slowstarter.SlowStarter[eelgrassbeam.UpstreamID]
	service     eelgrassbeam.Service
	weights     map[eelgrassbeam.TeamID]float64
}

// serviceSite is a site with the settings of its service.
type serviceSite struct {
	site    eelgrassbeam.Site
	service eelgrassbeam.Service
}

// siteCache holds all sites of one fleet and configuration.
type siteCache struct {
	fleet         *eelgrassbeam.Fleet
	configuration *eelgrassbeam.Configuration
	sites         []serviceSite
}

// Run reconciles the sites with the fleet, the configuration and the Assigner's decisions, and probes their upstreams,
// until the context ends. Then it refuses all waiting requests.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.reconcileLoop(ctx) })
	group.Go(func() error { return d.probeLoop(ctx) })
	return group.Wait()
}

func (d *Dispatcher) reconcileLoop(ctx context.Context) error {
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
	d.expireLeaving(now)
	owned := make(map[eelgrassbeam.Site]bool)
	for _, each := range d.serviceSites(fleet, configuration) {
		if _, ok := d.config.Assigner.MayDispatch(fleet, each.site, now); !ok {
			continue
		}
		owned[each.site] = true
		d.reconcileSite(configuration, fleet, each.service, each.site, now)
	}
	for key, s := range d.sites {
		if !owned[key] {
			s.queue.Close()
			delete(d.sites, key)
			d.recordTenureChange(key, "released")
		}
	}
}

// serviceSites returns all sites; the result is cached until the fleet or the configuration changes. The caller
// holds the mutex.
func (d *Dispatcher) serviceSites(fleet *eelgrassbeam.Fleet, configuration *eelgrassbeam.Configuration) []serviceSite {
	if d.siteCache.fleet == fleet && d.siteCache.configuration == configuration {
		return d.siteCache.sites
	}
	d.siteCache = siteCache{fleet: fleet, configuration: configuration}
	for _, service := range configuration.Defaults.Services {
		for _, site := range fleet.ServiceSites(service.Name) {
			d.siteCache.sites = append(d.siteCache.sites, serviceSite{site: site.Site, service: service})
		}
	}
	return d.siteCache.sites
}

func (d *Dispatcher) reconcileSite(
	configuration *eelgrassbeam.Configuration, fleet *eelgrassbeam.Fleet, service eelgrassbeam.Service,
	key eelgrassbeam.Site, now time.Time,
) {
	s, ok := d.sites[key]
	weights := configuration.Defaults.TeamWeights
	if ok && (!reflect.DeepEqual(s.service, service) || !maps.Equal(s.weights, weights)) {
		s.queue.SetPolicy(service, weights)
		s.service, s.weights = service, weights
	}
	if !ok {
		s = d.newSite(configuration, service)
		d.sites[key] = s
		d.recordTenureChange(key, "taken")
	}
	upstreams := fleet.SiteUpstreams(key)
	s.ejector.SetUpstreams(upstreamIDs(upstreams))
	s.queue.SetUpstreams(d.slots(configuration, s, upstreams, now))
	d.metrics.setLoad(key, s.queue.Load())
}

func (d *Dispatcher) newSite(configuration *eelgrassbeam.Configuration, service eelgrassbeam.Service) *site {
	return &site{
		queue: admitter.New(admitter.Config{
			Service: service, Weights: configuration.Defaults.TeamWeights, Clock: d.config.Clock, Metrics: d.metrics.admitter,
		}),
		ejector:     ejector.New(ejector.Config{Clock: d.config.Clock, Log: d.config.Log, Metrics: d.metrics.ejector}),
		slowStarter: slowstarter.New[eelgrassbeam.UpstreamID](slowstarter.Config{Clock: d.config.Clock}),
		service:     service,
		weights:     configuration.Defaults.TeamWeights,
	}
}

// slots returns the slots of each upstream that may get requests. An upstream that was leaving, dead, not live,
// drained or of weight 0 goes through slow start when it returns; one that was only ejected does not.
func (d *Dispatcher) slots(
	configuration *eelgrassbeam.Configuration, s *site, upstreams []eelgrassbeam.Upstream, now time.Time,
) []admitter.UpstreamSlots {
	var usable []admitter.UpstreamSlots
	inUse := make(map[eelgrassbeam.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		if _, leaves := d.leaving[u.ID]; leaves || d.probes.isDead(u.ID) {
			continue
		}
		full := slowstarter.FullSlots(configuration, u, now)
		if full == 0 {
			continue
		}
		inUse[u.ID] = true
		slots := s.slowStarter.Slots(u.ID, full, configuration.Defaults.SlowStart.Duration)
		if slots = s.ejector.Slots(u.ID, slots); slots > 0 {
			usable = append(usable, admitter.UpstreamSlots{Upstream: u, Slots: slots})
		}
	}
	s.slowStarter.Retain(inUse)
	return usable
}

func upstreamIDs(upstreams []eelgrassbeam.Upstream) []eelgrassbeam.UpstreamID {
	ids := make([]eelgrassbeam.UpstreamID, len(upstreams))
	for i, u := range upstreams {
		ids[i] = u.ID
	}
	return ids
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

// unmarkLeaving removes the upstream's leaving mark if it was set before the given time, at which a probe was sent
// that found the upstream not leaving. A mark that was set during the probe is newer and stays.
func (d *Dispatcher) unmarkLeaving(id eelgrassbeam.UpstreamID, before time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.leaving[id]; ok && at.Before(before) {
		delete(d.leaving, id)
	}
}

func (d *Dispatcher) expireLeaving(now time.Time) {
	for id, at := range d.leaving {
		if now.Sub(at) > leavingTTL {
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

// SiteLoad returns the load of the site; false if the entry does not dispatch for it.
func (d *Dispatcher) SiteLoad(key eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	s, ok := d.site(key)
	if !ok {
		return eelgrassbeam.SiteLoad{}, false
	}
	return s.queue.Load(), true
}

// SiteInProgress returns the number of exchanges in progress with the site's upstreams. An exchange is counted from
// before the last MayDispatch check until its end.
func (d *Dispatcher) SiteInProgress(key eelgrassbeam.Site) int {
	return int(d.exchangeCounter(key).Load())
}

// InProgress returns the number of exchanges in progress with all upstreams.
func (d *Dispatcher) InProgress() int { return int(d.inProgress.Load()) }

// exchangeCounter returns the site's counter of exchanges in progress, which is kept when the entry no longer
// dispatches for the site.
func (d *Dispatcher) exchangeCounter(key eelgrassbeam.Site) *atomic.Int64 {
	counter, _ := d.exchangeCounts.LoadOrStore(key, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// IsLeaving reports whether the upstream announced that it is leaving.
func (d *Dispatcher) IsLeaving(id eelgrassbeam.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.leaving[id]
	return ok
}

// Loads returns the load of all sites that the entry dispatches for.
func (d *Dispatcher) Loads() eelgrassbeam.LoadReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var report eelgrassbeam.LoadReport
	for key, s := range d.sites {
		report.Sites = append(report.Sites, eelgrassbeam.SiteReport{
			Site: key, Load: s.queue.Load(), Upstreams: s.queue.UpstreamLoads(),
		})
	}
	return report
}

// ExchangesStarted returns the number of exchanges started since the process started.
func (d *Dispatcher) ExchangesStarted() int64 { return d.exchangesStarted.Load() }

func (d *Dispatcher) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sites {
		s.queue.Close()
	}
}

func (d *Dispatcher) recordTenureChange(key eelgrassbeam.Site, change string) {
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
