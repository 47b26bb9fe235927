// Package granter limits the requests that are shifted between regions by credits: a site's dispatcher grants credits
// out of its free capacity for a short term, and an entry of another region sends a request only with a credit.
package granter

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
)

const (
	observeInterval = 100 * time.Millisecond
	bitsPerByte     = 8
	megabit         = 1e6
)

// Assigner decides which sites this entry may dispatch for.
type Assigner interface {
	// MayDispatch returns the time since which the entry dispatches for the site; false if it may not.
	MayDispatch(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) (time.Time, bool)
}

// Loads provides the load of the sites that this entry dispatches for.
type Loads interface {
	SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool)
}

// Config configures a Granter.
type Config struct {
	Self eelgrassbeam.Entry
	// Incarnation increases with each start of the process; grant ids start after it, so that no id is used twice.
	Incarnation   uint64
	Clock         eelgrassbeam.Clock
	Decisions     *logger.Logger
	Registerer    prometheus.Registerer
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Assigner      Assigner
	// Loads must not call the Granter, which holds its mutex during the call.
	Loads Loads
}

// Granter grants and checks credits for the sites that this entry dispatches for. It is safe for concurrent use. Lock
// order: Granter.mu before the locks of Assigner and Loads.
type Granter struct {
	config   Config
	metrics  metrics
	disabled disabledGuards
	// accepted counts the accepted requests from other regions.
	accepted atomic.Int64

	mu      sync.Mutex
	shares  shares
	ledgers map[eelgrassbeam.Site]*ledger
	lastID  uint64
}

// New returns a Granter that grants no credits until Run has observed the fleet and the configuration for
// ShareSettleTime.
func New(config Config) *Granter {
	return &Granter{
		config: config, metrics: newMetrics(config.Registerer),
		ledgers: make(map[eelgrassbeam.Site]*ledger), lastID: config.Incarnation,
	}
}

// Run updates the sites' shares from the fleet and the configuration until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	for {
		g.observe(g.config.Clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-g.config.Clock.After(observeInterval):
		}
	}
}

// Ask replies to a credit request out of the site's free capacity.
func (g *Granter) Ask(_ context.Context, request *CreditRequest) (*CreditReply, error) {
	if err := request.Validate(); err != nil {
		return nil, err
	}
	now := g.config.Clock.Now()
	g.mu.Lock()
	reply, reason, versions := g.issue(*request, now)
	g.mu.Unlock()
	g.metrics.given.Add(float64(reply.Credits))
	g.config.Decisions.Record(logger.Decision{
		Kind: logger.KindShift, Choice: request.Site.String(), Reason: reason, Versions: versions,
		Fields: logger.Fields{
			logger.Text("origin", request.Origin), logger.Text("region", request.Region),
			logger.Int("asked", request.Credits), logger.Int("given", reply.Credits), logger.Int("grant", reply.Grant),
		},
	})
	return &reply, nil
}

// Spend implements dispatcher.Grants: it uses one credit of the request's grant, and returns false if the request
// must be refused.
func (g *Granter) Spend(request eelgrassbeam.Request, now time.Time) bool {
	result, versions := g.spend(request, now)
	g.metrics.requests.WithLabelValues(string(result)).Inc()
	if result == verdictAccepted {
		g.accepted.Add(1)
		return true
	}
	g.config.Decisions.Record(logger.Decision{
		Kind: logger.KindShift, Request: request.ID, Choice: "refuse", Reason: string(result), Versions: versions,
		Fields: logger.Fields{
			logger.Text("site", request.Site.String()), logger.Text("region", request.OriginRegion), logger.Int("grant", request.Grant),
		},
	})
	return false
}

// AcceptedRequests returns the number of requests from other regions that were accepted since the process started.
func (g *Granter) AcceptedRequests() int64 { return g.accepted.Load() }

// LeftQueue implements dispatcher.Grants: a request that spent a credit has got a slot or was refused.
func (g *Granter) LeftQueue(site eelgrassbeam.Site) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.ledgers[site]; ok {
		l.leftQueue()
	}
}

// ExchangeEnded implements dispatcher.Grants: a request that spent a credit has ended; bytes is the sum of request and
// reply size.
func (g *Granter) ExchangeEnded(site eelgrassbeam.Site, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.ledgers[site]; ok {
		l.observe(bytes, g.config.Clock.Now())
	}
}

// observe updates the shares from the current fleet and configuration and drops the ledgers of sites that have no
// slots.
func (g *Granter) observe(now time.Time) {
	configuration, ok := g.config.Configuration.Configuration()
	if !ok {
		return
	}
	next := newSplit(g.config.Fleet.Fleet(), configuration, g.config.Self.Region)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.disabled = g.disabled
	g.shares.update(next, now)
	for site := range g.ledgers {
		if next.slotShare(site) == 0 {
			delete(g.ledgers, site)
		}
	}
}

// issue returns the reply to the credit request and the reason for it. The caller holds the mutex.
func (g *Granter) issue(request CreditRequest, now time.Time) (CreditReply, string, logger.Versions) {
	siteLimits, since, versions, ok := g.limits(request.Site, now)
	if !ok {
		return CreditReply{}, "not the dispatcher", versions
	}
	reply := CreditReply{Load: siteLimits.load}
	if now.Sub(since) < GrantTerm+GrantMargin && !g.disabled.tenure {
		return reply, "new dispatcher", versions
	}
	l, ok := g.ledgers[request.Site]
	if !ok {
		l = newLedger(g.disabled)
		g.ledgers[request.Site] = l
	}
	l.beginTenure(since)
	reply.Credits = l.issue(g.lastID+1, request.Credits, siteLimits, now)
	if reply.Credits == 0 {
		return reply, "nothing free", versions
	}
	g.lastID++
	reply.Grant, reply.Term = g.lastID, eelgrassbeam.Duration{Duration: GrantTerm}
	return reply, "free capacity", versions
}

func (g *Granter) spend(request eelgrassbeam.Request, now time.Time) (verdict, logger.Versions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.ledgers[request.Site]
	if !ok {
		return verdictUnknown, logger.Versions{}
	}
	siteLimits, since, versions, ok := g.limits(request.Site, now)
	if !ok {
		return verdictUnknown, versions
	}
	l.beginTenure(since)
	return l.spend(request.Grant, siteLimits, now), versions
}

// limits returns the current limits of the site's grants and the time since which this entry dispatches for the site;
// false if it does not. The caller holds the mutex.
func (g *Granter) limits(site eelgrassbeam.Site, now time.Time) (limits, time.Time, logger.Versions, bool) {
	fleet := g.config.Fleet.Fleet()
	versions := logger.Versions{Fleet: fleet.Revision}
	configuration, known := g.config.Configuration.Configuration()
	since, owned := g.config.Assigner.MayDispatch(fleet, site, now)
	load, loaded := g.config.Loads.SiteLoad(site)
	if !known || !owned || !loaded {
		return limits{}, time.Time{}, versions, false
	}
	versions.Configuration = configuration.Version
	defaults, region := configuration.Defaults, g.config.Self.Region
	shiftCap := defaults.ShiftCapPerSecond
	if exception, ok := configuration.Exception(eelgrassbeam.SettingShiftCap, eelgrassbeam.TargetRegion, string(region), now); ok {
		shiftCap = exception.Number()
	}
	if configuration.IsSiteDrained(eelgrassbeam.LocatedSite{Site: site, Region: region}, now) {
		shiftCap = 0
	}
	return limits{
		rate:      min(g.shares.rate(site, int(math.Floor(shiftCap*CapInterval.Seconds()))), maxWindowEvents),
		linkBytes: defaults.LinkMegabitsPerSecond * megabit / bitsPerByte * g.shares.slotShare(site) * CapInterval.Seconds(),
		headroom:  defaults.RegionHeadroom, slowStart: defaults.SlowStart.Duration, load: load,
	}, since, versions, true
}
