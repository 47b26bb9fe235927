// Package granter bounds the work that is shifted into a region: a site's dispatcher gives credits for a short term out
// of free capacity, and a remote entry sends no request to the site without one.
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

// Tenures tells which sites this entry may dispatch for.
type Tenures interface {
	// MayDispatch returns the time since when the entry dispatches for the site.
	MayDispatch(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) (time.Time, bool)
}

// Loads tells the load of a site that this entry dispatches for.
type Loads interface {
	SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool)
}

// Config configures a Granter.
type Config struct {
	Self eelgrassbeam.Entry
	// Incarnation rises with each start of the process; grant ids count on from it.
	Incarnation   uint64
	Clock         eelgrassbeam.Clock
	Decisions     *logger.Logger
	Registerer    prometheus.Registerer
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	Tenures       Tenures
	// Loads must not call the granter back.
	Loads Loads
}

// Granter gives and checks the credits of the sites that this entry dispatches for. Lock order: Granter.mu before the
// locks of Tenures and Loads.
type Granter struct {
	config  Config
	metrics metrics
	guards  guards
	// accepted counts shifted requests.
	accepted atomic.Int64

	mu      sync.Mutex
	shares  shares
	ledgers map[eelgrassbeam.Site]*ledger
	nextID  uint64
}

// New returns a Granter that gives nothing before Run has observed the view for Settle.
func New(config Config) *Granter {
	return &Granter{
		config: config, metrics: newMetrics(config.Registerer),
		ledgers: make(map[eelgrassbeam.Site]*ledger), nextID: config.Incarnation,
	}
}

// Run follows the view until the context ends.
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

// Ask gives credits out of what is free.
func (g *Granter) Ask(_ context.Context, question *Question) (*Answer, error) {
	if err := question.Validate(); err != nil {
		return nil, err
	}
	now := g.config.Clock.Now()
	g.mu.Lock()
	answer, reason, versions := g.give(*question, now)
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

// Spend implements dispatcher.Grants: it uses one credit of the request's grant; false refuses the request.
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

// Accepted counts the shifted requests that were accepted since the start.
func (g *Granter) Accepted() int64 { return g.accepted.Load() }

// Admitted implements dispatcher.Grants: the request that spent a credit has its slot or is refused.
func (g *Granter) Admitted(site eelgrassbeam.Site) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.ledgers[site]; ok {
		l.admitted()
	}
}

// Observe implements dispatcher.Grants: the request that spent a credit has ended; bytes are those of both ways.
func (g *Granter) Observe(site eelgrassbeam.Site, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.ledgers[site]; ok {
		l.observe(bytes, g.config.Clock.Now())
	}
}

// observe takes over the present view.
func (g *Granter) observe(now time.Time) {
	configuration, ok := g.config.Configuration.Configuration()
	if !ok {
		return
	}
	next := newSplit(g.config.Fleet.Fleet(), configuration, g.config.Self.Region)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.guards = g.guards
	g.shares.observe(next, now)
	for site := range g.ledgers {
		if next.part(site) == 0 {
			delete(g.ledgers, site)
		}
	}
}

// give answers the question with its reason; the caller holds the mutex.
func (g *Granter) give(question Question, now time.Time) (Answer, string, logger.Versions) {
	bounds, since, versions, ok := g.limits(question.Site, now)
	if !ok {
		return Answer{}, "not the dispatcher", versions
	}
	answer := Answer{Load: bounds.load}
	if now.Sub(since) < Term+Margin && !g.guards.noTenure {
		return answer, "new dispatcher", versions
	}
	l, ok := g.ledgers[question.Site]
	if !ok {
		l = newLedger(g.guards)
		g.ledgers[question.Site] = l
	}
	l.begin(since)
	answer.Credits = l.give(g.nextID+1, question.Credits, bounds, now)
	if answer.Credits == 0 {
		return answer, "nothing free", versions
	}
	g.nextID++
	answer.Grant, answer.Term = g.nextID, eelgrassbeam.Duration{Duration: Term}
	return answer, "free capacity", versions
}

func (g *Granter) spend(request eelgrassbeam.Request, now time.Time) (verdict, logger.Versions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.ledgers[request.Site]
	if !ok {
		return verdictUnknown, logger.Versions{}
	}
	bounds, since, versions, ok := g.limits(request.Site, now)
	if !ok {
		return verdictUnknown, versions
	}
	l.begin(since)
	return l.spend(request.Grant, bounds, now), versions
}

// limits returns what bounds the site's grants now, and since when this entry dispatches for it; the caller holds the
// mutex.
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
	limit := defaults.ShiftCapPerSecond
	if exception, ok := configuration.Exception(eelgrassbeam.SettingShiftCap, eelgrassbeam.TargetRegion, string(region), now); ok {
		limit = exception.Number()
	}
	if configuration.IsSiteDrained(eelgrassbeam.LocatedSite{Site: site, Region: region}, now) {
		limit = 0
	}
	return limits{
		rate:      min(g.shares.rate(site, int(math.Floor(limit*Interval.Seconds()))), maxWindow),
		linkBytes: defaults.LinkMegabits * megabit / bitsPerByte * g.shares.part(site) * Interval.Seconds(),
		headroom:  defaults.RegionHeadroom, slowStart: defaults.SlowStart.Duration, load: load,
	}, since, versions, true
}
