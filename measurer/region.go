package measurer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/router"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
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
		progress: make(map[eelgrassbeam.UpstreamID]int), slots: size.SlotsPerUpstream, scenario: size,
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

// receiver checks shifted requests; granted is how the real one does.
type receiver interface {
	// spend tells whether the shifted request may run.
	spend(request eelgrassbeam.Request) bool
	// admitted is told once the request has its slot or is refused.
	admitted(site eelgrassbeam.Site)
}

// origin is the entry of one zone.
type origin struct {
	*region
	zone    eelgrassbeam.ZoneID
	chooser sender.Chooser
	// receiver may be nil where nothing is shifted.
	receiver receiver
}

// newOrigin returns an origin that decides with the real router.
func newOrigin(r *region, zone eelgrassbeam.ZoneID, credits router.Credits) *origin {
	return &origin{region: r, zone: zone, chooser: router.New(router.Config{
		Self:  eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(zone), Zone: zone, Region: regionOf(zone)},
		Fleet: r, Configuration: r, Credits: credits,
		Random: rand.NewPCG(r.scenario.Site.Seed, xxhash.Sum64String(string(zone))),
	})}
}

// newHashed returns an origin that spreads requests over its region's sites by rendezvous hashing.
func newHashed(r *region, zone eelgrassbeam.ZoneID) *origin {
	return &origin{region: r, zone: zone, chooser: hashed{r, regionOf(zone)}}
}

func (o *origin) send(request eelgrassbeam.Request) {
	sent, tally := o.now, o.latency[regionOf(o.zone)]
	deadline := sent.Add(o.scenario.Site.service().Policy(request.Rank).Deadline.Duration)
	tally.offer(request)
	choice, err := o.chooser.Choose(request, nil, sent)
	if err != nil {
		return
	}
	request = request.WithSite(choice.Site, choice.Grant)
	request.OriginRegion = regionOf(o.zone)
	delay := o.delay(choice)
	o.sent++
	if delay > 0 {
		o.crossed++
	}
	back := func(answered bool) {
		load := o.sites[choice.Site].admitter.Load()
		o.after(delay, func() {
			o.chooser.Observe(choice.Site, load, o.now)
			if answered {
				tally.answer(request, o.now.Sub(sent), !o.now.After(deadline))
			}
		})
	}
	o.after(delay, func() { o.receive(request, deadline, choice.Region != regionOf(o.zone), back) })
}

// receive runs the request at its site, a shifted one only if the receiver lets it.
func (o *origin) receive(request eelgrassbeam.Request, deadline time.Time, shifted bool, done func(bool)) {
	if !shifted {
		o.sites[request.Site].run(request, deadline, done)
		return
	}
	if !o.receiver.spend(request) {
		done(false)
		return
	}
	o.sites[request.Site].run(request, deadline, done)
	o.receiver.admitted(request.Site)
}

func (o *origin) delay(choice sender.Choice) time.Duration {
	switch {
	case choice.Region != regionOf(o.zone):
		return o.scenario.RegionDelay
	case choice.Site.Zone != o.zone:
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

// Choose implements sender.Chooser.
func (h hashed) Choose(request eelgrassbeam.Request, _ []eelgrassbeam.Site, _ time.Time) (sender.Choice, error) {
	sites := slices.DeleteFunc(h.region.fleet.ServiceSites(request.Service), func(s eelgrassbeam.LocatedSite) bool {
		return s.Region != h.id
	})
	best := slices.MaxFunc(sites, func(a, b eelgrassbeam.LocatedSite) int {
		return cmp.Compare(score(request.ID, a.Zone), score(request.ID, b.Zone))
	})
	return sender.Choice{Site: best.Site, Region: best.Region}, nil
}

// Observe implements sender.Chooser.
func (hashed) Observe(eelgrassbeam.Site, eelgrassbeam.SiteLoad, time.Time) {}

func score(id eelgrassbeam.RequestID, zone eelgrassbeam.ZoneID) uint64 {
	return xxhash.Sum64String(string(id) + "@" + string(zone))
}

// MeasureRegion runs the first region alone and reports its ranks and the share of requests that left their zone.
func MeasureRegion(s RegionScenario, hashed bool) (report Report, crossed float64) {
	r := newRegion(s)
	for i, zone := range zones()[:2] {
		from := newOrigin(r, zone, nil)
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
