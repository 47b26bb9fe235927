package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/router"
)

const (
	// granterInterval is the time between a granter's updates from the fleet and the configuration.
	granterInterval = 100 * time.Millisecond
	// capWindow is the window over which the rate of shifted requests is measured.
	capWindow = time.Second
	// earlyDivisor sets what counts as the beginning of the slow start: the first 1/earlyDivisor of it.
	earlyDivisor = 5
)

// ShiftReport holds the results of a run in which a full region shifts requests to another region.
type ShiftReport struct {
	// Home and Remote report the requests of the callers in the first and in the second region.
	Home, Remote Report
	// Shifted is the number of requests that were shifted into the second region and accepted there.
	Shifted int
	// MaxPerSecond is the highest number of shifted requests accepted within any one second.
	MaxPerSecond int
	// MaxPerSecondEarly is the same as MaxPerSecond, but for the beginning of the slow start only.
	MaxPerSecondEarly int
}

// shiftRun is the state of a run that counts the shifted requests accepted by the second region.
type shiftRun struct {
	*regionRun
	// granters holds the real granter of each zone's dispatcher. A dispatcher dispatches for the site of its zone.
	granters map[eelgrassbeam.ZoneID]*granter.Granter
	// recentShifts holds the times at which shifted requests were accepted within the last capWindow.
	recentShifts []time.Time
	firstShift   time.Time
	report       ShiftReport
}

// MeasureShift runs both regions. If granted is false, a full region shifts requests without limit.
func MeasureShift(s RegionScenario, granted bool) ShiftReport {
	sh := &shiftRun{regionRun: newRegionRun(s), granters: make(map[eelgrassbeam.ZoneID]*granter.Granter)}
	for _, zone := range zones() {
		sh.addGranter(zone)
	}
	sh.runFor(granter.ShareSettleTime)
	scales := []float64{s.ZoneLoad[0], s.ZoneLoad[1], s.RemoteLoad, s.RemoteLoad}
	for i, zone := range zones() {
		var creditPool router.Credits = unlimitedCredits{}
		if granted {
			creditPool = newSimulatedCreditPool(sh, zone)
		}
		from := newOrigin(sh.regionRun, zone, creditPool)
		from.receiver = grantReceiver{shiftRun: sh, granted: granted}
		sh.startArrivals(zone, scales[i], uint64(100+i), from)
	}
	sh.run()
	name := fmt.Sprintf("grants %t", granted)
	sh.report.Home = sh.tallies["r0"].report(s.Site, name, sh.maxInProgress())
	sh.report.Remote = sh.tallies["r1"].report(s.Site, name, sh.maxInProgress())
	return sh.report
}

// addGranter adds the granter of the zone's dispatcher and lets it observe the fleet at each granterInterval.
func (sh *shiftRun) addGranter(zone eelgrassbeam.ZoneID) {
	d := dispatcher{sh.regionRun, zone, sh.now}
	g := granter.New(granter.Config{
		Self:        eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(zone), Zone: zone, Region: regionOf(zone)},
		Incarnation: uint64(len(sh.granters)+1) << idBits, Clock: sh.engine, Fleet: sh.regionRun, Configuration: sh.regionRun, Assigner: d, Loads: d,
	})
	sh.granters[zone] = g
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	// With a context that has already ended, Run observes the fleet once and returns.
	sh.every(granterInterval, func() { _ = g.Run(endedCtx) })
}

// idBits is the number of low bits of a grant id that count a dispatcher's grants. The higher bits identify the
// dispatcher, so that the ids of two dispatchers do not overlap.
const idBits = 32

// dispatcher provides a granter with the tenure and the load of the site in its zone, for which it has dispatched since
// the given time.
type dispatcher struct {
	*regionRun
	zone  eelgrassbeam.ZoneID
	since time.Time
}

// MayDispatch implements granter.Assigner.
func (d dispatcher) MayDispatch(_ *eelgrassbeam.Fleet, site eelgrassbeam.Site, _ time.Time) (time.Time, bool) {
	return d.since, site.Zone == d.zone
}

// SiteLoad implements granter.Loads.
func (d dispatcher) SiteLoad(site eelgrassbeam.Site) (eelgrassbeam.SiteLoad, bool) {
	s, ok := d.sites[site]
	if !ok || site.Zone != d.zone {
		return eelgrassbeam.SiteLoad{}, false
	}
	return s.admitter.Load(), true
}

// grantReceiver is a receiver that spends a credit for each shifted request. If granted is false it permits all.
type grantReceiver struct {
	*shiftRun
	granted bool
}

func (g grantReceiver) spendCredit(request eelgrassbeam.Request) bool {
	if g.granted && !g.granters[request.Site.Zone].Spend(request, g.now) {
		return false
	}
	g.recordShift()
	return true
}

func (g grantReceiver) admitted(site eelgrassbeam.Site) { g.granters[site.Zone].LeftQueue(site) }

func (sh *shiftRun) recordShift() {
	if sh.firstShift.IsZero() {
		sh.firstShift = sh.now
	}
	sh.recentShifts = append(sh.recentShifts, sh.now)
	for sh.now.Sub(sh.recentShifts[0]) >= capWindow {
		sh.recentShifts = sh.recentShifts[1:]
	}
	sh.report.Shifted++
	sh.report.MaxPerSecond = max(sh.report.MaxPerSecond, len(sh.recentShifts))
	if sh.now.Sub(sh.firstShift) < sh.scenario.SlowStart/earlyDivisor {
		sh.report.MaxPerSecondEarly = max(sh.report.MaxPerSecondEarly, len(sh.recentShifts))
	}
}
