package steerer

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

const (
	loadTimeout = 500 * time.Millisecond
	loadWorkers = 16
)

// siteReports are the loads that the dispatchers tell; a site is missing whose dispatcher did not answer.
type siteReports map[eelgrassbeam.Site]eelgrassbeam.SiteReport

// siteReports asks each entry that dispatches for a site.
func (s *Steerer) siteReports(ctx context.Context, fleet *eelgrassbeam.Fleet) siteReports {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		group   errgroup.Group
		reports = make(siteReports)
	)
	group.SetLimit(loadWorkers)
	for _, owner := range s.owners(fleet) {
		group.Go(func() error {
			report, err := s.loadsOf(ctx, owner)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			for _, site := range report.Sites {
				reports[site.Site] = site
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (s *Steerer) loadsOf(ctx context.Context, entry eelgrassbeam.Entry) (eelgrassbeam.LoadReport, error) {
	if entry.ID == s.self.ID {
		return s.dispatcher.Loads(), nil
	}
	return s.remote.Loads(ctx, entry)
}

// owners returns the entries that dispatch for a site.
func (s *Steerer) owners(fleet *eelgrassbeam.Fleet) []eelgrassbeam.Entry {
	var owners []eelgrassbeam.Entry
	seen := make(map[eelgrassbeam.Site]bool)
	for _, u := range fleet.Upstreams {
		site := eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}
		owner, ok := s.assigner.Owner(fleet, site)
		if ok && !seen[site] && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
		seen[site] = true
	}
	return owners
}

// upstream returns the upstream's load; waiting requests are the site's.
func (r siteReports) upstream(u eelgrassbeam.Upstream) eelgrassbeam.SiteLoad {
	report := r[eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}]
	i := slices.IndexFunc(report.Upstreams, func(l eelgrassbeam.UpstreamLoad) bool { return l.ID == u.ID })
	if i < 0 {
		return eelgrassbeam.SiteLoad{}
	}
	return eelgrassbeam.SiteLoad{
		Slots: report.Upstreams[i].Slots, InProgress: report.Upstreams[i].InProgress, Waiting: report.Load.Waiting,
	}
}

// add adds the sites' loads to their zones.
func (r siteReports) add(zones []operator.ZoneStatus) {
	for site, report := range r {
		i := slices.IndexFunc(zones, func(z operator.ZoneStatus) bool { return z.Zone == site.Zone })
		if i < 0 {
			continue
		}
		zones[i].Slots += report.Load.Slots
		zones[i].InProgress += report.Load.InProgress
		zones[i].Waiting += report.Load.Waiting
	}
}
