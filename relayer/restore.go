package relayer

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
)

// storedVersion is the latest configuration that this entry has seen in the store.
type storedVersion struct {
	mu sync.Mutex
	id eelgrassbeam.ConfigurationID
}

// record keeps the identity if it is later than the known one. Its counter is zero if the store holds no configuration.
func (s *storedVersion) record(id eelgrassbeam.ConfigurationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id.Revision > s.id.Revision {
		s.id = id
	}
}

func (s *storedVersion) get() eelgrassbeam.ConfigurationID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// storeLost stores the configuration in force again if the store was restored from a copy that holds only an ancestor of
// it. Other watchers may do the same at once: the writes are conditional on the copy, so that one of them takes effect.
// The error wraps eelgrassbeam.ErrConflict if another version is stored than this entry has seen.
func (r *Relayer) storeLost(ctx context.Context) error {
	stored := r.stored.get()
	current, ok := r.config.ConfigHolder.Configuration()
	if !ok || !isLost(current, stored) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	again, err := configwriter.StoreAgain(bounded, r.config.Store, *current, stored.Revision)
	fields := logrus.Fields{
		"event": "config_stored_again", "change": string(current.Change.ID), "lost": current.Revision().String(), "copy": stored.Revision.String(),
	}
	if err != nil {
		r.config.Log.WithFields(fields).WithField("error", err).Warn("")
		return err
	}
	r.stored.record(again.ID())
	r.config.Log.WithFields(fields).WithFields(logrus.Fields{"version": again.Version, "era": again.Era}).Info("")
	return r.config.ConfigHolder.Offer(again, configholder.SourcePlatform)
}

// isLost reports whether the store lacks the configuration in force since it was restored: it is in a later era and holds
// no configuration or an ancestor of that one.
func isLost(inForce *eelgrassbeam.Configuration, stored eelgrassbeam.ConfigurationID) bool {
	if stored.Revision.Era() <= inForce.Era {
		return false
	}
	return stored.Revision.Counter() == 0 || inForce.Change.ID != stored.Change && inForce.Includes(stored)
}
