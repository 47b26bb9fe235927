package directserver

import (
	"context"
	"errors"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// mustConfirm reports whether this entry accepts credentials only while it knows that its teams are current.
func (s *Server) mustConfirm() bool {
	return s.config.Settings.IsRevokeStrict && s.config.Settings.RevokeLimit > 0
}

// areTeamsCurrent reports whether credentials may be accepted.
func (s *Server) areTeamsCurrent() bool {
	if !s.mustConfirm() {
		return true
	}
	age, ok := s.viewer.ConfirmedAge()
	return ok && age < s.config.Settings.RevokeLimit
}

// checkStore makes the cheapest call to the store, whose answer may be old, or one that confirms the routing where that is
// needed.
func (s *Server) checkStore(ctx context.Context) error {
	view := s.viewer.View()
	if s.mustConfirm() && view.Routing != nil {
		return s.confirmRouting(ctx, view)
	}
	_, err := s.store.ListStale(ctx, platform.KindEvacuations)
	return err
}

// confirmRouting asks the store whether the routing has changed since the view's revision.
func (s *Server) confirmRouting(ctx context.Context, view *eelgrassbeam.View) error {
	sent := s.config.Clock.Now()
	isLatest, err := s.isLatest(ctx, view)
	if err != nil || !isLatest {
		return err // a change comes by the watch
	}
	s.viewer.ConfirmRouting(view.Routing.Version, s.config.Clock.Now().Sub(sent))
	return nil
}

func (s *Server) isLatest(ctx context.Context, view *eelgrassbeam.View) (bool, error) {
	events, err := s.store.Watch(ctx, platform.KindConfiguration, view.RoutingRevision, 0)
	if !errors.Is(err, eelgrassbeam.ErrCompacted) {
		return err == nil && len(events.Events) == 0, err
	}
	object, err := s.store.Get(ctx, platform.KindConfiguration, platform.MainConfiguration)
	return err == nil && object.Version == view.RoutingRevision, err
}
