package dispatchserver

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/operator"
)

// IsReady reports whether the entry may serve callers: it has a configuration, knows upstreams, may dispatch for the
// sites that it owns, and is not stopping.
func (s *Server) IsReady() bool {
	configuration, ok := s.configHolder.Configuration()
	return ok && !s.stopping.Load() && s.canDispatchOwnedSites(configuration)
}

// canDispatchOwnedSites reports whether the entry knows upstreams and may dispatch for each site that it owns.
func (s *Server) canDispatchOwnedSites(configuration *eelgrassbeam.Configuration) bool {
	fleet, now := s.monitor.Fleet(), s.config.Clock.Now()
	for _, service := range configuration.Defaults.Services {
		for _, site := range fleet.ServiceSites(service.Name) {
			owner, ok := s.assigner.Owner(fleet, site.Site)
			if !ok || owner.ID != s.self.ID {
				continue
			}
			if _, ok := s.assigner.MayDispatch(fleet, site.Site, now); !ok {
				return false
			}
		}
	}
	return len(fleet.Upstreams) > 0
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Configuration implements operator.Backend with the configuration in force at this entry.
func (s *Server) Configuration() (*eelgrassbeam.Configuration, bool) {
	return s.configHolder.Configuration()
}

// Decisions implements operator.Backend with the recent decisions of this entry.
func (s *Server) Decisions(filter logger.Filter) []logger.Decision {
	return s.decisions.Recent(filter)
}

// Apply implements operator.Backend. It puts a stored version in force on this entry at once instead of waiting for
// the watch to deliver it.
func (s *Server) Apply(ctx context.Context, change operator.Change) (*eelgrassbeam.Configuration, error) {
	stored, err := operator.Applier{ConfigWriter: s.configWriter}.Apply(ctx, change)
	if err != nil || change.DryRun {
		return stored, err
	}
	if err := s.configHolder.Offer(*stored, configholder.SourcePlatform); err != nil {
		s.config.Log.WithFields(logrus.Fields{"event": "config_overtaken", "version": stored.Version, "era": stored.Era, "error": err}).Info("")
	}
	return stored, nil
}

// AcceptedShiftedRequests returns the number of requests from other regions that this entry's sites have accepted since
// the start.
func (s *Server) AcceptedShiftedRequests() int64 { return s.granter.AcceptedRequests() }
