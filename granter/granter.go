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

// Tenures decides which sites this entry may dispatch for.
type Tenures interface {
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
	Tenures       Tenures
	// Loads must not call the Granter, which holds its mutex during the call.
	Loads Loads
}

// Granter grants and checks credits for the sites that this entry dispatches for. It is safe for concurrent use. Lock
// order: Granter.mu before the locks of Tenures and Loads.
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

// New returns a Granter that grants no credits until Run has observed the fleet and the configuration for Settle.
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

// Ask answers a credit request out of the site's free capacity.
func (g *Granter) Ask(_ context.Context, question *Question) (*Answer, error) {
	if err := question.Validate(); err != nil {
		return nil, err
	}
	now := g.config.Clock.Now()
	g.mu.Lock()
	answer, reason, versions := g.issue(*question, now)
	g.mu.Unlock()
	g.metrics.given.Add(float64(answer.Credits))
	g.config.Decisions.Record(logger.Decision{
		Kind: logger.KindShift, Choice: question.Site.String(), Reason: reason, Versions: versions,
		Fields: logger.Fields{
			logger.Text("origin", question.Origin), logger.Text("region", question.Region),
			logger.Int("asked", question.Credits), logger.Int("given", answer.Credits), logger.Int("grant", answer.Grant),
		},
	})
	return &answer, nil
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

// Accepted returns the number of requests from other regions that were accepted since the process started.
func (g *Granter) Accepted() int64 { return g.accepted.Load() }

// Admitted implements dispatcher.Grants: a request that spent a credit has got a slot or was refused.
func (g *Granter) Admitted(site eelgrassbeam.Site) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.ledgers[site]; ok {
		l.leftQueue()
	}
}

// Observe implements dispatcher.Grants: a request that spent a credit has ended; bytes is the sum of request and
// reply size.
func (g *Granter) Observe(site eelgrassbeam.Site, bytes int64) {
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

// issue returns the answer to the credit request and the reason for it. The caller holds the mutex.
func (g *Granter) issue(question Question, now time.Time) (Answer, string, logger.Versions) {
	siteLimits, since, versions, ok := g.limits(question.Site, now)
	if !ok {
		return Answer{}, "not the dispatcher", versions
	}
	answer := Answer{Load: siteLimits.load}
	if now.Sub(since) < Term+Margin && !g.disabled.tenure {
		return answer, "new dispatcher", versions
	}
	l, ok := g.ledgers[question.Site]
	if !ok {
		l = newLedger(g.disabled)
		g.ledgers[question.Site] = l
	}
	l.beginTenure(since)
	answer.Credits = l.issue(g.lastID+1, question.Credits, siteLimits, now)
	if answer.Credits == 0 {
		return answer, "nothing free", versions
	}
	g.lastID++
	answer.Grant, answer.Term = g.lastID, eelgrassbeam.Duration{Duration: Term}
	return answer, "free capacity", versions
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
	since, owned := g.config.Tenures.MayDispatch(fleet, site, now)
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
		rate:      min(g.shares.rate(site, int(math.Floor(shiftCap*Interval.Seconds()))), maxWindowEvents),
		linkBytes: defaults.LinkMegabits * megabit / bitsPerByte * g.shares.slotShare(site) * Interval.Seconds(),
		headroom:  defaults.RegionHeadroom, slowStart: defaults.SlowStart.Duration, load: load,
	}, since, versions, true
}
