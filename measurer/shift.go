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
	// viewInterval is the time between a granter's looks at its view.
	viewInterval = 100 * time.Millisecond
	// capWindow is the time over which shifted requests are counted.
	capWindow = time.Second
	// early is the part of the slow start that counts as its beginning.
	early = 5
)

// ShiftReport tells how a shift from a full region went.
type ShiftReport struct {
	// Home and Remote are the regions' own requests.
	Home, Remote Report
	// Shifted is the number of requests that ran at the second region.
	Shifted int
	// MostPerSecond is the largest number of them that began within any second.
	MostPerSecond int
	// MostPerSecondEarly is the same for the beginning of the slow start.
	MostPerSecondEarly int
}

// shift counts the shifted requests that begin at the second region.
type shift struct {
	*region
	// granters hold the real granter of each dispatcher; one dispatches for its zone's site.
	granters map[eelgrassbeam.ZoneID]*granter.Granter
	// began holds the starts within the last window.
	began  []time.Time
	first  time.Time
	report ShiftReport
}

// MeasureShift runs both regions; without grants a full region shifts what it likes.
func MeasureShift(s RegionScenario, granted bool) ShiftReport {
	sh := &shift{region: newRegion(s), granters: make(map[eelgrassbeam.ZoneID]*granter.Granter)}
	for _, zone := range zones() {
		sh.addGranter(zone)
	}
	sh.runFor(granter.Settle)
	scales := []float64{s.ZoneLoad[0], s.ZoneLoad[1], s.RemoteLoad, s.RemoteLoad}
	for i, zone := range zones() {
		var held router.Credits = endless{}
		if granted {
			held = newCredits(sh, zone)
		}
		from := newOrigin(sh.region, zone, held)
		from.receiver = checked{shift: sh, granted: granted}
		sh.load(zone, scales[i], uint64(100+i), from)
	}
	sh.run()
	name := fmt.Sprintf("grants %t", granted)
	sh.report.Home = sh.latency["r0"].report(s.Site, name, sh.mostInProgress())
	sh.report.Remote = sh.latency["r1"].report(s.Site, name, sh.mostInProgress())
	return sh.report
}

// addGranter adds the zone's dispatcher, which looks at its view at each interval.
func (sh *shift) addGranter(zone eelgrassbeam.ZoneID) {
	d := dispatcher{sh.region, zone, sh.now}
	g := granter.New(granter.Config{
		Self:        eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(zone), Zone: zone, Region: regionOf(zone)},
		Incarnation: uint64(len(sh.granters)+1) << idBits, Clock: sh.engine, Fleet: sh.region, Configuration: sh.region, Tenures: d, Loads: d,
	})
	sh.granters[zone] = g
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// An ended context lets Run look at the view once and return.
	sh.every(viewInterval, func() { _ = g.Run(ended) })
}

// idBits keeps the grant ids of dispatchers apart.
const idBits = 32

// dispatcher dispatches for the site of its zone since the given time.
type dispatcher struct {
	*region
	zone  eelgrassbeam.ZoneID
	since time.Time
}

// MayDispatch implements granter.Tenures.
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

// checked is the receiver of shifted requests; without grants it lets all run.
type checked struct {
	*shift
	granted bool
}

func (c checked) spend(request eelgrassbeam.Request) bool {
	if c.granted && !c.granters[request.Site.Zone].Spend(request, c.now) {
		return false
	}
	c.count()
	return true
}

func (c checked) admitted(site eelgrassbeam.Site) { c.granters[site.Zone].Admitted(site) }

func (sh *shift) count() {
	if sh.first.IsZero() {
		sh.first = sh.now
	}
	sh.began = append(sh.began, sh.now)
	for sh.now.Sub(sh.began[0]) >= capWindow {
		sh.began = sh.began[1:]
	}
	sh.report.Shifted++
	sh.report.MostPerSecond = max(sh.report.MostPerSecond, len(sh.began))
	if sh.now.Sub(sh.first) < sh.scenario.SlowStart/early {
		sh.report.MostPerSecondEarly = max(sh.report.MostPerSecondEarly, len(sh.began))
	}
}
