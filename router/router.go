// Package router chooses the site that takes a request: near first, then by load, and in another region only under a grant.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
)

// shiftFree is the free share of the region's best site below which requests go to other regions: its queue is then as
// long as its slots.
const shiftFree = -1.0

// Credits are the credits that sites of other regions have given; granter.Wallet implements it.
type Credits interface {
	// Take uses one credit for the site and returns its grant; false where none is live.
	Take(site eelgrassbeam.Site, rank eelgrassbeam.Rank, now time.Time) (uint64, bool)
}

// Config configures a Router.
type Config struct {
	Self          eelgrassbeam.Entry
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	// Credits may be nil: then nothing is shifted.
	Credits Credits
	// Random draws the sites to compare.
	Random rand.Source
}

// Router implements sender.Chooser. Lock order: Router.mu before a site's load; Router.randomMu alone.
type Router struct {
	config Config
	table  atomic.Pointer[table]

	// mu guards loads and the building of tables.
	mu    sync.RWMutex
	loads map[eelgrassbeam.Site]*siteLoad

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a Router that knows no load.
func New(config Config) *Router {
	return &Router{config: config, loads: make(map[eelgrassbeam.Site]*siteLoad), random: rand.New(config.Random)}
}

// Choose implements sender.Chooser.
func (r *Router) Choose(request eelgrassbeam.Request, tried []eelgrassbeam.Site, now time.Time) (sender.Choice, error) {
	t, ok := r.current(now)
	if !ok {
		return sender.Choice{}, sender.ErrNoSite
	}
	routes, ok := t.services[request.Service]
	if !ok {
		return sender.Choice{}, sender.ErrNoSite
	}
	choice, s, err := r.choose(routes, query{rank: request.Rank, tried: tried, now: now})
	if err == nil {
		s.load.send(now)
	}
	return choice, err
}

// Observe implements sender.Chooser.
func (r *Router) Observe(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time) {
	r.mu.RLock()
	known, ok := r.loads[site]
	r.mu.RUnlock()
	if ok {
		known.observe(load, now)
	}
}

// query is what a choice is made for.
type query struct {
	rank  eelgrassbeam.Rank
	tried []eelgrassbeam.Site
	now   time.Time
}

// again returns the query with no site tried.
func (q query) again() query {
	q.tried = nil
	return q
}

func (q query) wasTried(s *site) bool { return slices.Contains(q.tried, s.Site) }

func (q query) free(s *site) float64 { return s.load.free(s.slots, q.rank, q.now) }

func (r *Router) choose(routes *routes, q query) (sender.Choice, *site, error) {
	own := routes.own
	if own != nil && r.passes(own) && !q.wasTried(own) && q.free(own) > 0 {
		return choiceOf(own, 0, "own zone"), own, nil
	}
	if s := r.drawFree(&routes.others, q); s != nil {
		return choiceOf(s, 0, "other zone"), s, nil
	}
	best, free := leastLoaded(routes, q)
	if best == nil || free <= shiftFree {
		if s, grant, ok := r.shift(&routes.remotes, q); ok {
			return choiceOf(s, grant, "remote region under a grant"), s, nil
		}
	}
	if best != nil {
		return choiceOf(best, 0, "least loaded of the region"), best, nil
	}
	if best, _ = leastLoaded(routes, q.again()); best != nil {
		return choiceOf(best, 0, "all were tried"), best, nil
	}
	if s, grant, ok := r.shift(&routes.remotes, q.again()); ok {
		return choiceOf(s, grant, "all were tried"), s, nil
	}
	if r.config.Credits == nil || len(routes.remotes.sites) == 0 {
		return sender.Choice{}, nil, sender.ErrNoSite
	}
	return sender.Choice{}, nil, sender.ErrNoGrant
}

// passes lets a site with a weight below 1 take that share of the requests.
func (r *Router) passes(s *site) bool { return s.weight >= 1 || r.point() < s.weight }

// drawFree returns the freer of two drawn sites, or else the freest one; nil where none has free slots.
func (r *Router) drawFree(g *group, q query) *site {
	if len(g.sites) == 0 {
		return nil
	}
	best, most := (*site)(nil), 0.0
	for range min(2, len(g.sites)) {
		s := g.draw(r.point())
		if free := q.free(s); free > most && !q.wasTried(s) {
			best, most = s, free
		}
	}
	if best != nil {
		return best
	}
	for _, s := range g.sites {
		if free := q.free(s); free > most && !q.wasTried(s) {
			best, most = s, free
		}
	}
	return best
}

// shift uses a credit of one of two drawn remote sites.
func (r *Router) shift(g *group, q query) (*site, uint64, bool) {
	if r.config.Credits == nil || len(g.sites) == 0 {
		return nil, 0, false
	}
	a, b := g.draw(r.point()), g.draw(r.point())
	if q.free(b) > q.free(a) {
		a, b = b, a
	}
	if grant, ok := r.take(a, q); ok {
		return a, grant, true
	}
	if a == b {
		return nil, 0, false
	}
	grant, ok := r.take(b, q)
	return b, grant, ok
}

func (r *Router) take(s *site, q query) (uint64, bool) {
	if q.wasTried(s) {
		return 0, false
	}
	return r.config.Credits.Take(s.Site, q.rank, q.now)
}

func (r *Router) point() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}

// current returns the table of the present view; false before there is a configuration.
func (r *Router) current(now time.Time) (*table, bool) {
	configuration, ok := r.config.Configuration.Configuration()
	if !ok {
		return nil, false
	}
	fleet := r.config.Fleet.Fleet()
	if t := r.table.Load(); t.isCurrent(fleet, configuration, now) {
		return t, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.table.Load(); t.isCurrent(fleet, configuration, now) {
		return t, true
	}
	loads := make(map[eelgrassbeam.Site]*siteLoad)
	t := build(r.config.Self, fleet, configuration, now, func(site eelgrassbeam.Site) *siteLoad {
		load, ok := r.loads[site]
		if !ok {
			load = &siteLoad{}
		}
		loads[site] = load
		return load
	})
	r.loads = loads
	r.table.Store(t)
	return t, true
}

// leastLoaded returns the region's site with the greatest free share, the own zone's among equals.
func leastLoaded(routes *routes, q query) (*site, float64) {
	best, most := routes.own, 0.0
	if best != nil && q.wasTried(best) {
		best = nil
	}
	if best != nil {
		most = q.free(best)
	}
	for _, s := range routes.others.sites {
		free := q.free(s)
		if !q.wasTried(s) && (best == nil || free > most) {
			best, most = s, free
		}
	}
	return best, most
}

func choiceOf(s *site, grant uint64, reason string) sender.Choice {
	return sender.Choice{Site: s.Site, Region: s.Region, Grant: grant, Reason: reason}
}
