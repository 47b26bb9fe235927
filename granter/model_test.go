package granter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	modelStep    = 20 * time.Millisecond
	modelSteps   = 1500
	siteCount    = 2
	slotsPerSite = 40
	headroom     = 0.1
)

var modelSites = [siteCount]eelgrassbeam.Site{{Service: "booking", Zone: "z0"}, {Service: "booking", Zone: "z1"}}

// modelGrant is what the model knows about a grant.
type modelGrant struct {
	site    int
	credits int
	at      time.Time
}

// modelSite is a site of the model with its dispatcher and load.
type modelSite struct {
	owner    int
	since    time.Time
	local    int
	shifted  int
	accepted []time.Time
}

// modelDispatcher is one dispatcher with its own view of the fleet.
type modelDispatcher struct {
	*Granter
	model *model
	index int
	fleet *eelgrassbeam.Fleet
}

func (r *modelDispatcher) Fleet() *eelgrassbeam.Fleet { return r.fleet }
func (r *modelDispatcher) Configuration() (*eelgrassbeam.Configuration, bool) {
	return r.model.configuration, true
}

func (r *modelDispatcher) MayDispatch(_ *eelgrassbeam.Fleet, site eelgrassbeam.Site, _ time.Time) (time.Time, bool) {
	p := r.model.sites[slices.Index(modelSites[:], site)]
	return p.since, p.owner == r.index
}

func (r *modelDispatcher) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	p := r.model.sites[slices.Index(modelSites[:], site)]
	return eelgrassbeam.SiteLoad{Slots: slotsPerSite, InProgress: p.local + p.shifted}, true
}

// event is a scheduled message or change.
type event struct {
	at  time.Time
	run func()
}

// capChange is a shift cap with the time since which it is in force.
type capChange struct {
	since time.Time
	limit float64
}

// model simulates two dispatchers of a region and two origins in another region over a lossy network, with its own
// clock.
type model struct {
	random        *rand.Rand
	disabled      disabledGuards
	now           time.Time
	configuration *eelgrassbeam.Configuration
	caps          []capChange
	revision      uint64
	sites         [siteCount]*modelSite
	dispatchers   [siteCount]*modelDispatcher
	origins       [2][siteCount]*account
	events        []event
	grants        map[uint64]modelGrant
	violations    map[string]error
	accepted      int
}

func newModel(t *rapid.T, g disabledGuards) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), disabled: g,
		now: time.Unix(1000, 0), grants: make(map[uint64]modelGrant), violations: make(map[string]error),
	}
	m.setCap(40)
	fleet := m.newFleet()
	for i := range siteCount {
		m.sites[i] = &modelSite{owner: i, since: m.now}
		m.dispatchers[i] = &modelDispatcher{model: m, index: i, fleet: fleet}
		m.restart(i)
		for o := range m.origins {
			m.origins[o][i] = &account{}
		}
	}
	return m
}

func (m *model) setCap(limit float64) {
	m.caps = append(m.caps, capChange{since: m.now, limit: limit})
	m.configuration = &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		ShiftCapPerSecond: limit, RegionHeadroom: headroom, LinkMegabitsPerSecond: 10_000,
		Services: []eelgrassbeam.Service{{Name: "booking", SlotsPerUpstream: 3}},
	}}
}

func (m *model) newFleet() *eelgrassbeam.Fleet {
	m.revision++
	fleet := &eelgrassbeam.Fleet{Revision: m.revision}
	for _, site := range modelSites {
		for n := range 1 + m.random.IntN(5) {
			fleet.Upstreams = append(fleet.Upstreams, eelgrassbeam.Upstream{
				ID: eelgrassbeam.UpstreamID(fmt.Sprint(site, n)), Service: site.Service, Zone: site.Zone, Region: "r0",
			})
		}
	}
	return fleet
}

func (m *model) restart(i int) {
	r := m.dispatchers[i]
	r.Granter = New(Config{
		Self:        eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(fmt.Sprint("d", i)), Region: "r0"},
		Incarnation: uint64(i)<<60 | uint64(m.now.UnixNano()), Fleet: r, Configuration: r, Assigner: r, Loads: r, Clock: clock{m},
	})
	r.disabled = m.disabled
	r.observe(m.now)
	for _, p := range m.sites {
		if p != nil && p.owner == i {
			p.since = m.now
		}
	}
}

type clock struct{ model *model }

func (c clock) Now() time.Time                       { return c.model.now }
func (c clock) After(time.Duration) <-chan time.Time { return nil }

func (m *model) violate(kind, format string, args ...any) {
	if m.violations[kind] == nil {
		m.violations[kind] = fmt.Errorf(kind+" at %s: "+format, append([]any{m.now.Sub(m.caps[0].since)}, args...)...)
	}
}

func (m *model) schedule(d time.Duration, run func()) {
	m.events = append(m.events, event{at: m.now.Add(d), run: run})
}

// send delivers a message after a delay; it may be lost or duplicated.
func (m *model) send(run func()) {
	for _, odds := range []int{95, 5} {
		if m.random.IntN(100) < odds {
			m.schedule(m.delay(), run)
		}
	}
}

// delay returns a random delay, usually below 80 ms and sometimes longer than a grant's term.
func (m *model) delay() time.Duration {
	longest := time.Duration(80)
	if m.random.IntN(20) == 0 {
		longest = 3000
	}
	return time.Duration(m.random.Int64N(int64(longest * time.Millisecond)))
}

func (m *model) run() {
	for step := range modelSteps {
		m.now = m.now.Add(modelStep)
		m.injectFaults()
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
			} else {
				e.run()
			}
		}
		for i, r := range m.dispatchers {
			if step%int(observeInterval/modelStep) == 0 {
				r.observe(m.now)
			}
			for o := range m.origins {
				m.shift(o, i)
			}
		}
	}
}

func (m *model) injectFaults() {
	for _, p := range m.sites {
		p.local = min(max(p.local+m.random.IntN(7)-3, 0), slotsPerSite*3/4)
	}
	switch m.random.IntN(400) {
	case 0, 4:
		m.setCap([]float64{0, 10, 20, 40}[m.random.IntN(4)])
	case 1:
		fleet := m.newFleet()
		for _, r := range m.dispatchers {
			m.schedule(time.Duration(m.random.Int64N(int64(assigner.DefaultTakeoverDelay-observeInterval-modelStep))), func() {
				if fleet.Revision > r.fleet.Revision {
					r.fleet = fleet
				}
			})
		}
	case 2:
		p := m.sites[m.random.IntN(siteCount)]
		p.owner, p.since = 1-p.owner, m.now
	case 3:
		m.restart(m.random.IntN(siteCount))
	}
}

// shift lets the origin send requests to the site: the first origin a few in each step, the second one bursts.
func (m *model) shift(origin, site int) {
	a := m.origins[origin][site]
	owner := m.dispatchers[m.sites[site].owner]
	requests := m.random.IntN(4)
	if origin == 1 {
		requests = m.random.IntN(40) * (m.random.IntN(20) / 19)
	}
	for range requests {
		if id, ok := a.take(eelgrassbeam.RankUrgent, m.now); ok {
			m.send(func() { m.arrive(owner, site, id) })
		}
	}
	if credits := a.due(m.now); credits > 0 {
		a.beginAsk(m.now)
		m.ask(a, owner, site, credits)
	}
}

func (m *model) ask(a *account, owner *modelDispatcher, site, credits int) {
	asked, ended := m.now, false
	finish := func(added bool) {
		if !ended {
			a.endAsk(added, m.now)
		}
		ended = true
	}
	m.schedule(askTimeout, func() { finish(false) })
	m.send(func() {
		reply, err := owner.Ask(context.Background(), &CreditRequest{Site: modelSites[site], Origin: "o", Region: "r1", Credits: credits})
		if err != nil || reply.Credits == 0 {
			m.send(func() { finish(false) })
			return
		}
		m.grants[reply.Grant] = modelGrant{site: site, credits: reply.Credits, at: m.now}
		m.checkOutstanding(site)
		m.send(func() { finish(a.addCredits(*reply, asked, m.now)) })
	})
}

func (m *model) arrive(owner *modelDispatcher, site int, id uint64) {
	p, g := m.sites[site], m.grants[id]
	g.credits--
	m.grants[id] = g
	if !owner.Spend(eelgrassbeam.Request{Site: modelSites[site], OriginRegion: "r1", Grant: id}, m.now) {
		return
	}
	m.accepted++
	p.accepted = append(p.accepted, m.now)
	p.shifted++
	m.schedule(time.Duration(m.random.IntN(200))*time.Millisecond, func() {
		p.shifted--
		owner.ExchangeEnded(modelSites[site], firstExchangeBytes)
	})
	owner.LeftQueue(modelSites[site])
	m.checkAccepted(p, g)
}
