package measurer

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
)

const (
	// creditRequestInterval is the time between credit requests for the same site.
	creditRequestInterval = 20 * time.Millisecond
	// maxRequestedCredits is the maximum number of credits in one request.
	maxRequestedCredits = 256
)

// simulatedCreditPool is a simplified credit pool of an origin, in virtual time. It requests credits for the demand
// since its last request and spends each grant until the grant expires.
type simulatedCreditPool struct {
	*shiftRun
	zone   eelgrassbeam.ZoneID
	grants map[eelgrassbeam.Site][]heldGrant
	demand map[eelgrassbeam.Site]int
}

type heldGrant struct {
	id      uint64
	left    int
	expires time.Time
}

func newSimulatedCreditPool(sh *shiftRun, zone eelgrassbeam.ZoneID) *simulatedCreditPool {
	w := &simulatedCreditPool{
		shiftRun: sh, zone: zone,
		grants: make(map[eelgrassbeam.Site][]heldGrant), demand: make(map[eelgrassbeam.Site]int),
	}
	for _, located := range sh.fleet.ServiceSites(eelgrassbeam.ServiceName(sh.scenario.Site.Name)) {
		if located.Region != regionOf(zone) {
			sh.every(creditRequestInterval, func() { w.requestCredits(located.Site) })
		}
	}
	return w
}

// Take implements router.Credits.
func (w *simulatedCreditPool) Take(site eelgrassbeam.Site, _ eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	w.demand[site]++
	held := w.grants[site]
	for len(held) > 0 && (held[0].left == 0 || !now.Before(held[0].expires)) {
		held = held[1:]
	}
	w.grants[site] = held
	if len(held) == 0 {
		return 0, false
	}
	held[0].left--
	return held[0].id, true
}

// requestCredits sends the site's dispatcher a request for the credits demanded since the last request, up to
// maxRequestedCredits. The request and its reply each take RegionDelay.
func (w *simulatedCreditPool) requestCredits(site eelgrassbeam.Site) {
	requested := min(w.demand[site], maxRequestedCredits)
	if requested == 0 {
		return
	}
	w.demand[site] = 0
	requestedAt := w.now
	request := granter.CreditRequest{
		Site: site, Origin: eelgrassbeam.EntryID(w.zone), Region: regionOf(w.zone), Credits: requested,
	}
	w.after(w.scenario.RegionDelay, func() {
		reply, err := w.granters[site.Zone].Ask(context.Background(), &request)
		if err != nil || reply.Credits == 0 {
			return
		}
		grant := heldGrant{id: reply.Grant, left: reply.Credits, expires: requestedAt.Add(reply.Term.Duration)}
		w.after(w.scenario.RegionDelay, func() { w.grants[site] = append(w.grants[site], grant) })
	})
}

// unlimitedCredits permits every shift. It stands for a system without grants.
type unlimitedCredits struct{}

// Take implements router.Credits.
func (unlimitedCredits) Take(eelgrassbeam.Site, eelgrassbeam.Rank, time.Time) (uint64, bool) {
	return 0, true
}
