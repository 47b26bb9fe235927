package measurer

import (
	"context"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/granter"
)

const (
	// askInterval is the time between asks for the same site.
	askInterval = 20 * time.Millisecond
	// maxAsked bounds the credits of one ask.
	maxAsked = 256
)

// credits stands in for an origin's wallet in virtual time: it asks for what was wanted and spends until expiry.
type credits struct {
	*shift
	zone   eelgrassbeam.ZoneID
	held   map[eelgrassbeam.Site][]heldGrant
	wanted map[eelgrassbeam.Site]int
}

type heldGrant struct {
	id      uint64
	left    int
	expires time.Time
}

func newCredits(sh *shift, zone eelgrassbeam.ZoneID) *credits {
	c := &credits{
		shift: sh, zone: zone,
		held: make(map[eelgrassbeam.Site][]heldGrant), wanted: make(map[eelgrassbeam.Site]int),
	}
	for _, located := range sh.fleet.ServiceSites(eelgrassbeam.ServiceName(sh.scenario.Site.Name)) {
		if located.Region != regionOf(zone) {
			sh.every(askInterval, func() { c.ask(located.Site) })
		}
	}
	return c
}

// Take implements router.Credits.
func (c *credits) Take(site eelgrassbeam.Site, _ eelgrassbeam.Rank, now time.Time) (uint64, bool) {
	c.wanted[site]++
	held := c.held[site]
	for len(held) > 0 && (held[0].left == 0 || !now.Before(held[0].expires)) {
		held = held[1:]
	}
	c.held[site] = held
	if len(held) == 0 {
		return 0, false
	}
	held[0].left--
	return held[0].id, true
}

// ask brings the question to the site's dispatcher and the answer back.
func (c *credits) ask(site eelgrassbeam.Site) {
	wanted := min(c.wanted[site], maxAsked)
	if wanted == 0 {
		return
	}
	c.wanted[site] = 0
	asked := c.now
	question := granter.Question{
		Site: site, Origin: eelgrassbeam.EntryID(c.zone), Region: regionOf(c.zone), Credits: wanted,
	}
	c.after(c.scenario.RegionDelay, func() {
		answer, err := c.granters[site.Zone].Ask(context.Background(), &question)
		if err != nil || answer.Credits == 0 {
			return
		}
		grant := heldGrant{id: answer.Grant, left: answer.Credits, expires: asked.Add(answer.Term.Duration)}
		c.after(c.scenario.RegionDelay, func() { c.held[site] = append(c.held[site], grant) })
	})
}

// endless holds credits without end.
type endless struct{}

// Take implements router.Credits.
func (endless) Take(eelgrassbeam.Site, eelgrassbeam.Rank, time.Time) (uint64, bool) { return 0, true }
