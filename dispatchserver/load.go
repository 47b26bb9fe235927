package dispatchserver

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
	loadReportTimeout     = 500 * time.Millisecond
	loadReportConcurrency = 16
)

// siteReports holds the load reports by site. A site whose owner did not answer is absent.
type siteReports map[eelgrassbeam.Site]eelgrassbeam.SiteReport

// collectSiteReports fetches the load reports from all entries that own a site, within loadReportTimeout.
func (s *Server) collectSiteReports(ctx context.Context, fleet *eelgrassbeam.Fleet) siteReports {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		group   errgroup.Group
		reports = make(siteReports)
	)
	group.SetLimit(loadReportConcurrency)
	for _, owner := range s.siteOwners(fleet) {
		group.Go(func() error {
			report, err := s.loadReport(ctx, owner)
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

func (s *Server) loadReport(ctx context.Context, entry eelgrassbeam.Entry) (eelgrassbeam.LoadReport, error) {
	if entry.ID == s.self.ID {
		return s.dispatcher.Loads(), nil
	}
	return s.remoteDispatchers.Loads(ctx, entry)
}

// siteOwners returns the entries that own at least one site with upstreams, each once.
func (s *Server) siteOwners(fleet *eelgrassbeam.Fleet) []eelgrassbeam.Entry {
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

// upstreamLoad returns the load of the upstream, or the zero value if it is not reported. Requests wait in a queue
// per site, so Waiting is that of the whole site.
func (r siteReports) upstreamLoad(u eelgrassbeam.Upstream) eelgrassbeam.SiteLoad {
	report := r[eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}]
	i := slices.IndexFunc(report.Upstreams, func(l eelgrassbeam.UpstreamLoad) bool { return l.ID == u.ID })
	if i < 0 {
		return eelgrassbeam.SiteLoad{}
	}
	return eelgrassbeam.SiteLoad{
		Slots: report.Upstreams[i].Slots, InProgress: report.Upstreams[i].InProgress, Waiting: report.Load.Waiting,
	}
}

// addToZones adds the load of each site to the status of its zone.
func (r siteReports) addToZones(zones []operator.ZoneStatus) {
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
