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

// RegionScenario describes a load on two regions with two zones each and one origin in each zone.
type RegionScenario struct {
	// Site is the size of each zone's site. Its Demand is the work offered in a zone as a share of the site's capacity.
	Site Scenario
	// ZoneDelay and RegionDelay are the one-way network delays between zones of a region and between regions.
	ZoneDelay, RegionDelay time.Duration
	// ZoneLoad multiplies the demand in each zone of the first region, RemoteLoad that in both zones of the second.
	ZoneLoad   [2]float64
	RemoteLoad float64
	// ShiftCap is the maximum rate of requests shifted into the second region, in requests per second.
	ShiftCap  float64
	SlowStart time.Duration
}

// regionRun is the state of one run. tallies holds the results by the region of the callers.
type regionRun struct {
	*engine
	scenario  RegionScenario
	fleet     *eelgrassbeam.Fleet
	config    *eelgrassbeam.Configuration
	sites     map[eelgrassbeam.Site]*admitterSystem
	tallies   map[eelgrassbeam.RegionID]*tally
	crossZone int
	sent      int
}

// Fleet implements eelgrassbeam.FleetSource.
func (r *regionRun) Fleet() *eelgrassbeam.Fleet { return r.fleet }

// Configuration implements eelgrassbeam.ConfigurationSource.
func (r *regionRun) Configuration() (*eelgrassbeam.Configuration, bool) { return r.config, true }

func newRegionRun(s RegionScenario) *regionRun {
	r := &regionRun{
		engine: newEngine(), scenario: s, fleet: &eelgrassbeam.Fleet{}, sites: make(map[eelgrassbeam.Site]*admitterSystem),
		tallies: map[eelgrassbeam.RegionID]*tally{"r0": newTally(), "r1": newTally()},
	}
	r.config = &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{
		Services: []eelgrassbeam.Service{s.Site.service()}, ShiftCapPerSecond: s.ShiftCap, LinkMegabitsPerSecond: 1000,
		SlowStart: eelgrassbeam.Duration{Duration: s.SlowStart}, RegionHeadroom: 0.1,
	}}
	for i, zone := range zones() {
		r.addSite(zone, uint64(i))
	}
	return r
}

func zones() []eelgrassbeam.ZoneID { return []eelgrassbeam.ZoneID{"r0-z0", "r0-z1", "r1-z0", "r1-z1"} }

func regionOf(zone eelgrassbeam.ZoneID) eelgrassbeam.RegionID { return eelgrassbeam.RegionID(zone[:2]) }

func (r *regionRun) addSite(zone eelgrassbeam.ZoneID, seed uint64) {
	scenario := r.scenario.Site
	siteID := eelgrassbeam.Site{Service: eelgrassbeam.ServiceName(scenario.Name), Zone: zone}
	s := &siteRun{
		engine: r.engine, generator: newGenerator(scenario.Seed + seed), tally: newTally(),
		inProgress: make(map[eelgrassbeam.UpstreamID]int), slots: scenario.SlotsPerUpstream, scenario: scenario,
	}
	r.sites[siteID] = newAdmitterSystem(s, scenario)
	for _, upstream := range scenario.upstreams() {
		upstream.ID = eelgrassbeam.UpstreamID(fmt.Sprint(zone, "-", upstream.ID))
		upstream.Zone, upstream.Region = zone, regionOf(zone)
		r.fleet.Upstreams = append(r.fleet.Upstreams, upstream)
	}
}

// startArrivals schedules the arrivals of all ranks at the zone's origin, with the demand multiplied by scale.
func (r *regionRun) startArrivals(zone eelgrassbeam.ZoneID, scale float64, seed uint64, origin *origin) {
	scenario := r.scenario.Site
	arrivals := newGenerator(scenario.Seed + seed)
	for i, rank := range eelgrassbeam.Ranks() {
		rate := scale * scenario.Demand[i] * float64(scenario.slots()) / meanServiceTime.Seconds()
		if rate > 0 {
			r.scheduleArrivals(arrivals, zone, rank, rate, origin)
		}
	}
}

func (r *regionRun) scheduleArrivals(arrivals *generator, zone eelgrassbeam.ZoneID, rank eelgrassbeam.Rank, perSecond float64, from *origin) {
	r.after(arrivals.interarrival(perSecond), func() {
		from.send(arrivals.nextRequest(eelgrassbeam.ServiceName(r.scenario.Site.Name), rank))
		r.scheduleArrivals(arrivals, zone, rank, perSecond, from)
	})
}

// receiver decides whether requests that were shifted from another region may run. grantReceiver implements it.
type receiver interface {
	// spendCredit spends a credit of the shifted request's grant and reports whether the request may run.
	spendCredit(request eelgrassbeam.Request) bool
	// admitted is called after the shifted request was submitted to the site's admitter.
	admitted(site eelgrassbeam.Site)
}

// origin simulates the entry that receives the requests of one zone's callers.
type origin struct {
	*regionRun
	zone    eelgrassbeam.ZoneID
	chooser sender.Chooser
	// receiver is nil if no request is shifted to another region.
	receiver receiver
}

// newOrigin returns an origin that chooses sites with the real router.
func newOrigin(r *regionRun, zone eelgrassbeam.ZoneID, credits router.Credits) *origin {
	return &origin{regionRun: r, zone: zone, chooser: router.New(router.Config{
		Self:  eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(zone), Zone: zone, Region: regionOf(zone)},
		Fleet: r, Configuration: r, Credits: credits,
		Random: rand.NewPCG(r.scenario.Site.Seed, xxhash.Sum64String(string(zone))),
	})}
}

// newRendezvousOrigin returns an origin that distributes requests over its region's sites by rendezvous hashing.
func newRendezvousOrigin(r *regionRun, zone eelgrassbeam.ZoneID) *origin {
	return &origin{regionRun: r, zone: zone, chooser: rendezvous{r, regionOf(zone)}}
}

func (o *origin) send(request eelgrassbeam.Request) {
	sent, tally := o.now, o.tallies[regionOf(o.zone)]
	deadline := sent.Add(o.scenario.Site.service().Policy(request.Rank).Deadline.Duration)
	tally.recordOffered(request)
	choice, err := o.chooser.Choose(request, nil, sent)
	if err != nil {
		return
	}
	request = request.WithSite(choice.Site, choice.Grant)
	request.OriginRegion = regionOf(o.zone)
	delay := o.delay(choice)
	o.sent++
	if delay > 0 {
		o.crossZone++
	}
	respond := func(answered bool) {
		load := o.sites[choice.Site].admitter.Load()
		o.after(delay, func() {
			o.chooser.Observe(choice.Site, load, o.now)
			if answered {
				tally.recordAnswered(request, o.now.Sub(sent), !o.now.After(deadline))
			}
		})
	}
	o.after(delay, func() { o.receive(request, deadline, choice.Region != regionOf(o.zone), respond) })
}

// receive submits the request to its site. A shifted request runs only if the receiver permits it.
func (o *origin) receive(request eelgrassbeam.Request, deadline time.Time, shifted bool, done func(bool)) {
	if !shifted {
		o.sites[request.Site].run(request, deadline, done)
		return
	}
	if !o.receiver.spendCredit(request) {
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

// rendezvous is the chooser of plain rendezvous hashing over the region's sites.
type rendezvous struct {
	region *regionRun
	id     eelgrassbeam.RegionID
}

// Choose implements sender.Chooser.
func (r rendezvous) Choose(request eelgrassbeam.Request, _ []eelgrassbeam.Site, _ time.Time) (sender.Choice, error) {
	sites := slices.DeleteFunc(r.region.fleet.ServiceSites(request.Service), func(s eelgrassbeam.LocatedSite) bool {
		return s.Region != r.id
	})
	best := slices.MaxFunc(sites, func(a, b eelgrassbeam.LocatedSite) int {
		return cmp.Compare(rendezvousScore(request.ID, a.Zone), rendezvousScore(request.ID, b.Zone))
	})
	return sender.Choice{Site: best.Site, Region: best.Region}, nil
}

// Observe implements sender.Chooser.
func (rendezvous) Observe(eelgrassbeam.Site, eelgrassbeam.SiteLoad, time.Time) {}

func rendezvousScore(id eelgrassbeam.RequestID, zone eelgrassbeam.ZoneID) uint64 {
	return xxhash.Sum64String(string(id) + "@" + string(zone))
}

// MeasureRegion runs the first region alone. It returns the region's report and the share of requests that were sent to
// another zone.
func MeasureRegion(s RegionScenario, useRendezvous bool) (report Report, crossZoneShare float64) {
	r := newRegionRun(s)
	for i, zone := range zones()[:2] {
		from := newOrigin(r, zone, nil)
		if useRendezvous {
			from = newRendezvousOrigin(r, zone)
		}
		r.startArrivals(zone, s.ZoneLoad[i], uint64(100+i), from)
	}
	r.run()
	name := "own zone first"
	if useRendezvous {
		name = "plain rendezvous"
	}
	return r.tallies["r0"].report(s.Site, name, r.maxInProgress()), float64(r.crossZone) / float64(r.sent)
}

// run discards the results of the warm-up, then measures for the scenario's length.
func (r *regionRun) run() {
	r.runFor(warmUp)
	r.tallies["r0"], r.tallies["r1"] = newTally(), newTally()
	r.crossZone, r.sent = 0, 0
	r.runFor(r.scenario.Site.Length)
}

func (r *regionRun) maxInProgress() float64 {
	highest := 0.0
	for _, s := range r.sites {
		highest = max(highest, s.maxInProgress())
	}
	return highest
}
