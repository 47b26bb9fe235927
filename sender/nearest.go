package sender

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// NearestConfig configures Nearest.
type NearestConfig struct {
	Self          eelgrassbeam.Entry
	Fleet         eelgrassbeam.FleetSource
	Configuration eelgrassbeam.ConfigurationSource
}

// Nearest is a Chooser that prefers the entry's own zone over the other zones of its region. It is the baseline for
// comparing choosers.
type Nearest struct{ config NearestConfig }

// NewNearest returns a Nearest chooser.
func NewNearest(config NearestConfig) *Nearest { return &Nearest{config: config} }

// Choose implements Chooser. It returns ErrNoSite if the region has no site of the service that is not drained.
func (n *Nearest) Choose(request eelgrassbeam.Request, tried []eelgrassbeam.Site, now time.Time) (Choice, error) {
	configuration, ok := n.config.Configuration.Configuration()
	if !ok {
		return Choice{}, ErrNoSite
	}
	var candidates []eelgrassbeam.LocatedSite
	for _, site := range n.config.Fleet.Fleet().ServiceSites(request.Service) {
		if site.Region == n.config.Self.Region && !configuration.IsSiteDrained(site, now) {
			candidates = append(candidates, site)
		}
	}
	if len(candidates) == 0 {
		return Choice{}, ErrNoSite
	}
	best := slices.MinFunc(candidates, func(a, b eelgrassbeam.LocatedSite) int {
		return cmp.Compare(n.cost(a, tried), n.cost(b, tried))
	})
	return Choice{Site: best.Site, Region: best.Region, Reason: "nearest zone"}, nil
}

// Observe implements Chooser. It is a no-op, since the choice does not depend on load.
func (n *Nearest) Observe(eelgrassbeam.Site, eelgrassbeam.SiteLoad, time.Time) {}

func (n *Nearest) cost(site eelgrassbeam.LocatedSite, tried []eelgrassbeam.Site) int {
	cost := 0
	for _, t := range tried {
		if t == site.Site {
			cost += 2
		}
	}
	if site.Zone != n.config.Self.Zone {
		cost++
	}
	return cost
}
