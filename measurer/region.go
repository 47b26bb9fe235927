package measurer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/router"
)

// RegionScenario is a load on two regions of two zones each, with one origin a zone.
type RegionScenario struct {
	// Site is the size of each zone's site; its demand is that of a zone by its capacity.
	Site Scenario
	// ZoneDelay and RegionDelay are one-way delays.
	ZoneDelay, RegionDelay time.Duration
	// ZoneLoad scales the demand of the first region's zones; RemoteLoad that of the second region's.
	ZoneLoad   [2]float64
	RemoteLoad float64
	// ShiftCap bounds requests shifted into the second region, in requests a second.
	ShiftCap  float64
	SlowStart time.Duration
}

// region is the state of one run.
type region struct {
	*engine
	scenario RegionScenario
	fleet    *eelgrassbeam.Fleet
	config   *eelgrassbeam.Configuration
	sites    map[eelgrassbeam.Site]*admitted
	latency  map[eelgrassbeam.RegionID]*tally
	crossed  int
	sent     int
}

// Fleet implements eelgrassbeam.FleetSource.
func (r *region) Fleet() *eelgrassbeam.Fleet { return r.fleet }

// Configuration implements eelgrassbeam.ConfigurationSource.
func (r *region) Configuration() (*eelgrassbeam.Configuration, bool) { return r.config, true }

func newRegion(s RegionScenario) *region {
	r := &region{
		engine: newEngine(), scenario: s, fleet: &eelgrassbeam.Fleet{}, sites: make(map[eelgrassbeam.Site]*admitted),
		latency: map[eelgrassbeam.RegionID]*tally{"r0": newTally(), "r1": newTally()},
	}
	r.config = &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		Services: []eelgrassbeam.Service{s.Site.service()}, ShiftCapPerSecond: s.ShiftCap, LinkMegabits: 1000,
		SlowStart: eelgrassbeam.Duration{Duration: s.SlowStart}, RegionHeadroom: 0.1,
	}}
	for i, zone := range zones() {
		r.addSite(zone, uint64(i))
	}
	return r
}

func zones() []eelgrassbeam.ZoneID { return []eelgrassbeam.ZoneID{"r0-z0", "r0-z1", "r1-z0", "r1-z1"} }

func regionOf(zone eelgrassbeam.ZoneID) eelgrassbeam.RegionID { return eelgrassbeam.RegionID(zone[:2]) }

func (r *region) addSite(zone eelgrassbeam.ZoneID, seed uint64) {
	size := r.scenario.Site
	name := eelgrassbeam.Site{Service: eelgrassbeam.ServiceName(size.Name), Zone: zone}
	s := &site{
		engine: r.engine, generator: newGenerator(size.Seed + seed), tally: newTally(),
		progress: make(map[eelgrassbeam.UpstreamID]int), slots: size.SlotsPerUpstream,
	}
	r.sites[name] = newAdmitted(s, size)
	for _, upstream := range size.upstreams() {
		upstream.ID = eelgrassbeam.UpstreamID(fmt.Sprint(zone, "-", upstream.ID))
		upstream.Zone, upstream.Region = zone, regionOf(zone)
		r.fleet.Upstreams = append(r.fleet.Upstreams, upstream)
	}
}

// load starts arrivals at the zone's origin, which uses the chooser.
func (r *region) load(zone eelgrassbeam.ZoneID, scale float64, seed uint64, origin *origin) {
	size := r.scenario.Site
	arrivals := newGenerator(size.Seed + seed)
	for i, rank := range eelgrassbeam.Ranks() {
		rate := scale * size.Demand[i] * float64(size.slots()) / meanService.Seconds()
		if rate > 0 {
			r.offer(arrivals, zone, rank, rate, origin)
		}
	}
}

func (r *region) offer(arrivals *generator, zone eelgrassbeam.ZoneID, rank eelgrassbeam.Rank, perSecond float64, from *origin) {
	r.after(arrivals.pause(perSecond), func() {
		from.send(arrivals.next(eelgrassbeam.ServiceName(r.scenario.Site.Name), rank))
		r.offer(arrivals, zone, rank, perSecond, from)
	})
}

// origin is the entry of one zone.
type origin struct {
	*region
	zone    eelgrassbeam.ZoneID
	chooser eelgrassbeam.Chooser
	// check tells whether a shifted request may run at the receiver; nil allows all.
	check   func(site eelgrassbeam.Site, grant uint64) bool
	observe func(site eelgrassbeam.Site, load eelgrassbeam.SiteLoad)
	done    func(site eelgrassbeam.Site)
}

// newOrigin returns an origin that decides with the real router.
func newOrigin(r *region, zone eelgrassbeam.ZoneID, wallet router.Wallet) *origin {
	source := rand.New(rand.NewPCG(r.scenario.Site.Seed, xxhash.Sum64String(string(zone))))
	chooser := router.New(router.Config{
		Clock: r.engine, Zone: zone, Region: regionOf(zone), Fleet: r, Configuration: r, Wallet: wallet, Random: source.Float64,
	})
	return &origin{region: r, zone: zone, chooser: chooser, observe: chooser.Observe, done: chooser.Done}
}

// newHashed returns an origin that spreads requests over its region's sites by rendezvous hashing.
func newHashed(r *region, zone eelgrassbeam.ZoneID) *origin {
	return &origin{
		region: r, zone: zone, chooser: hashed{r, regionOf(zone)},
		observe: func(eelgrassbeam.Site, eelgrassbeam.SiteLoad) {}, done: func(eelgrassbeam.Site) {},
	}
}

func (o *origin) send(request eelgrassbeam.Request) {
	sent, tally := o.now, o.latency[regionOf(o.zone)]
	deadline := sent.Add(o.scenario.Site.service().Policy(request.Rank).Deadline.Duration)
	tally.offer(request)
	decision, err := o.chooser.Choose(request, nil)
	if err != nil {
		return
	}
	delay := o.delay(decision)
	o.sent++
	if delay > 0 {
		o.crossed++
	}
	o.after(delay, func() {
		back := func(answered bool) {
			load := o.sites[decision.Site].admitter.Load()
			o.after(delay, func() {
				o.done(decision.Site)
				o.observe(decision.Site, load)
				if answered {
					tally.answer(request, o.now.Sub(sent), !o.now.After(deadline))
				}
			})
		}
		if decision.Reason == eelgrassbeam.ChosenShift && o.check != nil && !o.check(decision.Site, decision.Grant) {
			back(false)
			return
		}
		o.sites[decision.Site].run(request, deadline, back)
	})
}

func (o *origin) delay(decision eelgrassbeam.Decision) time.Duration {
	switch {
	case decision.Region != regionOf(o.zone):
		return o.scenario.RegionDelay
	case decision.Site.Zone != o.zone:
		return o.scenario.ZoneDelay
	default:
		return 0
	}
}

// hashed is the chooser of plain rendezvous hashing over the region's sites.
type hashed struct {
	region *region
	id     eelgrassbeam.RegionID
}

// Choose implements eelgrassbeam.Chooser.
func (h hashed) Choose(request eelgrassbeam.Request, _ []eelgrassbeam.Site) (eelgrassbeam.Decision, error) {
	sites := slices.DeleteFunc(h.region.fleet.ServiceSites(request.Service), func(s eelgrassbeam.LocatedSite) bool {
		return s.Region != h.id
	})
	best := slices.MaxFunc(sites, func(a, b eelgrassbeam.LocatedSite) int {
		if score(request.ID, a.Zone) < score(request.ID, b.Zone) {
			return -1
		}
		return 1
	})
	return eelgrassbeam.Decision{Site: best.Site, Region: best.Region, Reason: eelgrassbeam.ChosenRegion}, nil
}

func score(id eelgrassbeam.RequestID, zone eelgrassbeam.ZoneID) uint64 {
	return xxhash.Sum64String(string(id) + "@" + string(zone))
}

// MeasureRegion runs the first region alone and reports its ranks and the share of requests that left their zone.
func MeasureRegion(s RegionScenario, hashed bool) (report Report, crossed float64) {
	r := newRegion(s)
	for i, zone := range zones()[:2] {
		from := newOrigin(r, zone, noCredit{})
		if hashed {
			from = newHashed(r, zone)
		}
		r.load(zone, s.ZoneLoad[i], uint64(100+i), from)
	}
	r.run()
	name := "own zone first"
	if hashed {
		name = "plain rendezvous"
	}
	return r.latency["r0"].report(s.Site, name, r.mostInProgress()), float64(r.crossed) / float64(r.sent)
}

// run warms up, then counts for the scenario's length.
func (r *region) run() {
	r.runFor(warmUp)
	r.latency["r0"], r.latency["r1"] = newTally(), newTally()
	r.crossed, r.sent = 0, 0
	r.runFor(r.scenario.Site.Length)
}

func (r *region) mostInProgress() float64 {
	most := 0.0
	for _, s := range r.sites {
		most = max(most, s.mostInProgress())
	}
	return most
}

// noCredit is a wallet without credits.
type noCredit struct{}

// Spend implements router.Wallet.
func (noCredit) Spend(eelgrassbeam.Site, eelgrassbeam.Rank) (uint64, bool) { return 0, false }
