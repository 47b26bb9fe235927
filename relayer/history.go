package relayer

import (
	"slices"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// historyLength is the number of versions kept as bases for deltas.
const historyLength = 4

// history keeps the latest configurations that were in force on this entry, oldest first.
type history struct {
	mu       sync.Mutex
	versions []*eelgrassbeam.Configuration
	// last caches the latest update and lastBase its base, since all children and most pulls need the same one.
	last     *update
	lastBase eelgrassbeam.Revision
}

// add appends the configuration and returns the revision of the one before it, or zero if there is none.
func (h *history) add(configuration *eelgrassbeam.Configuration) (previous eelgrassbeam.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) > 0 {
		previous = h.versions[len(h.versions)-1].Revision()
	}
	h.versions = append(h.versions, configuration)
	if excess := len(h.versions) - historyLength; excess > 0 {
		h.versions = slices.Clone(h.versions[excess:])
	}
	return previous
}

// update returns an update from base to the revision: a delta if the base is kept and a delta suffices, otherwise a
// snapshot. It returns nil if the revision is not kept.
func (h *history) update(base, revision eelgrassbeam.Revision) *update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil && h.last.Revision == revision && h.lastBase == base {
		return h.last
	}
	next := h.find(revision)
	if next == nil {
		return nil
	}
	result := &update{Revision: revision, Snapshot: next}
	if old := h.find(base); old != nil {
		if d, ok := diff(old, next); ok {
			result = &update{Revision: revision, Delta: d}
		}
	}
	h.last, h.lastBase = result, base
	return result
}

// latest returns an update from base to the latest configuration, or nil if that one doesn't supersede base.
func (h *history) latest(base eelgrassbeam.ConfigurationID) *update {
	h.mu.Lock()
	var last *eelgrassbeam.Configuration
	if len(h.versions) > 0 {
		last = h.versions[len(h.versions)-1]
	}
	h.mu.Unlock()
	if last == nil || !last.MaySupersede(base) {
		return nil
	}
	return h.update(base.Revision, last.Revision())
}

func (h *history) find(revision eelgrassbeam.Revision) *eelgrassbeam.Configuration {
	i := slices.IndexFunc(h.versions, func(c *eelgrassbeam.Configuration) bool { return c.Revision() == revision })
	if i < 0 || revision == 0 {
		return nil
	}
	return h.versions[i]
}
