package measurer

import (
	"fmt"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
	"github.com/eelgrassbeam/eelgrassbeam/router"
)

const (
	// askInterval is the time between a sender's asks for the same site.
	askInterval = granter.DefaultAskInterval
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
	registry *granter.Registry
	// began holds the starts within the last window.
	began  []time.Time
	first  time.Time
	report ShiftReport
}

// MeasureShift runs both regions; without grants a full region shifts what it likes.
func MeasureShift(s RegionScenario, granted bool) ShiftReport {
	sh := &shift{region: newRegion(s), registry: granter.NewRegistry()}
	for _, located := range sh.fleet.ServiceSites(eelgrassbeam.ServiceName(s.Site.Name)) {
		sh.addGranter(located)
	}
	scales := []float64{s.ZoneLoad[0], s.ZoneLoad[1], s.RemoteLoad, s.RemoteLoad}
	for i, zone := range zones() {
		wallet := granter.NewWallet(granter.WalletConfig{Clock: sh.engine})
		var spend router.Wallet = always{}
		if granted {
			spend = wallet
			sh.every(askInterval, func() { sh.ask(zone, wallet) })
		}
		from := newOrigin(sh.region, zone, spend)
		from.check = func(site eelgrassbeam.Site, grant uint64) bool { return sh.arrive(site, grant, granted) }
		sh.load(zone, scales[i], uint64(100+i), from)
	}
	sh.run()
	name := fmt.Sprintf("grants %t", granted)
	sh.report.Home = sh.latency["r0"].report(s.Site, name, sh.mostInProgress())
	sh.report.Remote = sh.latency["r1"].report(s.Site, name, sh.mostInProgress())
	return sh.report
}

func (sh *shift) addGranter(located eelgrassbeam.LocatedSite) {
	g := granter.New(granter.Config{Site: located.Site, Clock: sh.engine, Load: sh.sites[located.Site].admitter.Load})
	g.SetLimits(granter.LimitsOf(sh.fleet, sh.config, located, sh.now))
	sh.registry.Put(g)
}

// ask sends an ask for each wanted site and brings back the answer, each after the delay between regions.
func (sh *shift) ask(zone eelgrassbeam.ZoneID, wallet *granter.Wallet) {
	wanted := wallet.TakeWants()
	for _, located := range sh.fleet.ServiceSites(eelgrassbeam.ServiceName(sh.scenario.Site.Name)) {
		missing := wanted[located.Site] - wallet.Balance(located.Site)
		if missing <= 0 {
			continue
		}
		asked := sh.now
		g, _ := sh.registry.Granter(located.Site)
		sh.after(sh.scenario.RegionDelay, func() {
			answer := g.Grant(granter.Ask{Site: located.Site, From: eelgrassbeam.EntryID(zone), Want: missing})
			sh.after(sh.scenario.RegionDelay, func() { wallet.Add(answer.Grant, asked) })
		})
	}
}

// arrive checks a shifted request and counts the accepted ones by second.
func (sh *shift) arrive(site eelgrassbeam.Site, grant uint64, granted bool) bool {
	if granted && sh.registry.Arrive(site, grant) != nil {
		return false
	}
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
	return true
}

// always is a wallet that never runs out.
type always struct{}

// Spend implements router.Wallet.
func (always) Spend(eelgrassbeam.Site, eelgrassbeam.Rank) (uint64, bool) { return 0, true }
