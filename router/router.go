// Package router chooses the site for a request: the entry's own zone first, then the region's other zones by load,
// and sites of other regions only with a grant.
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

// shiftThreshold is the free share of the region's least loaded site at which requests are shifted to other
// regions: the site's queue is then as long as its number of slots.
const shiftThreshold = -1.0

// Credits provides the credits that sites of other regions have granted; granter.CreditPool implements it.
type Credits interface {
	// Take uses one credit for the site and returns the id of its grant; false if none is available.
	Take(site eelgrassbeam.Site, rank eelgrassbeam.Rank, now time.Time) (uint64, bool)
}

// Config configures a Router.
type Config struct {
	Self          eelgrassbeam.Entry
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
	// Credits may be nil; then no request is sent to another region.
	Credits Credits
	// Random is the random source for the choice of sites.
	Random rand.Source
}

// Router implements sender.Chooser. It is safe for concurrent use. Lock order: Router.mu before loadEstimate.mu;
// Router.randomMu is held alone.
type Router struct {
	config Config
	table  atomic.Pointer[table]

	// mu protects loads and is held while a table is built.
	mu    sync.RWMutex
	loads map[eelgrassbeam.Site]*loadEstimate

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a Router without load reports.
func New(config Config) *Router {
	return &Router{config: config, loads: make(map[eelgrassbeam.Site]*loadEstimate), random: rand.New(config.Random)}
}

// Choose implements sender.Chooser. It returns sender.ErrNoSite if no site can serve the request, and
// sender.ErrNoGrant if only sites of other regions can and none has granted a credit.
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
		s.load.countSent(now)
	}
	return choice, err
}

// Observe implements sender.Chooser: it records the reported load of the site.
func (r *Router) Observe(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad, now time.Time) {
	r.mu.RLock()
	known, ok := r.loads[site]
	r.mu.RUnlock()
	if ok {
		known.observe(load, now)
	}
}

// query holds the parameters of one choice.
type query struct {
	rank  eelgrassbeam.Rank
	tried []eelgrassbeam.Site
	now   time.Time
}

// withoutTried returns the query without tried sites.
func (q query) withoutTried() query {
	q.tried = nil
	return q
}

func (q query) wasTried(s *site) bool { return slices.Contains(q.tried, s.Site) }

func (q query) free(s *site) float64 { return s.load.free(s.slots, q.rank, q.now) }

// choose tries the site in the own zone, then a free site of another zone, then, if all sites of the region were tried
// or their queues are long, a site of another region, then the least loaded untried site of the region. If none of
// these can be used, it allows sites that were tried: first those of the region, then remote ones.
func (r *Router) choose(routes *routes, q query) (sender.Choice, *site, error) {
	own := routes.own
	if own != nil && r.acceptsByWeight(own) && !q.wasTried(own) && q.free(own) > 0 {
		return choiceOf(own, 0, "own zone"), own, nil
	}
	if s := r.drawFree(&routes.others, q); s != nil {
		return choiceOf(s, 0, "other zone"), s, nil
	}
	best, free := leastLoaded(routes, q)
	if best == nil || free <= shiftThreshold {
		if s, grant, ok := r.shift(&routes.remotes, q); ok {
			return choiceOf(s, grant, "remote region under a grant"), s, nil
		}
	}
	if best != nil {
		return choiceOf(best, 0, "least loaded of the region"), best, nil
	}
	if best, _ = leastLoaded(routes, q.withoutTried()); best != nil {
		return choiceOf(best, 0, "all were tried"), best, nil
	}
	if s, grant, ok := r.shift(&routes.remotes, q.withoutTried()); ok {
		return choiceOf(s, grant, "all were tried"), s, nil
	}
	if r.config.Credits == nil || len(routes.remotes.sites) == 0 {
		return sender.Choice{}, nil, sender.ErrNoSite
	}
	return sender.Choice{}, nil, sender.ErrNoGrant
}

// acceptsByWeight reports whether the site takes the request: with a weight below 1 it takes that share of requests
// at random.
func (r *Router) acceptsByWeight(s *site) bool { return s.weight >= 1 || r.randomPoint() < s.weight }

// drawFree returns the less loaded of two randomly drawn sites (power of two choices). If neither is untried with free
// slots, it returns the untried site with the largest free share; nil if no untried site has free slots.
func (r *Router) drawFree(g *group, q query) *site {
	if len(g.sites) == 0 {
		return nil
	}
	best, most := (*site)(nil), 0.0
	for range min(2, len(g.sites)) {
		s := g.draw(r.randomPoint())
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

// shift uses a credit of one of two randomly drawn sites, the less loaded one first; false if neither has one.
func (r *Router) shift(g *group, q query) (*site, uint64, bool) {
	if r.config.Credits == nil || len(g.sites) == 0 {
		return nil, 0, false
	}
	a, b := g.draw(r.randomPoint()), g.draw(r.randomPoint())
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

func (r *Router) randomPoint() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}

// current returns the table of the current fleet and configuration; false if there is no configuration yet.
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
	loads := make(map[eelgrassbeam.Site]*loadEstimate)
	t := buildTable(r.config.Self, fleet, configuration, now, func(site eelgrassbeam.Site) *loadEstimate {
		load, ok := r.loads[site]
		if !ok {
			load = &loadEstimate{}
		}
		loads[site] = load
		return load
	})
	r.loads = loads
	r.table.Store(t)
	return t, true
}

// leastLoaded returns the untried site of the region with the largest free share, and that share; in case of a tie, it
// prefers the site in the entry's own zone. It returns nil if all were tried.
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
