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
	lastBase uint64
}

// add appends the configuration and returns the version before it, or zero if there is none.
func (h *history) add(configuration *eelgrassbeam.Configuration) (previous uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) > 0 {
		previous = h.versions[len(h.versions)-1].Version
	}
	h.versions = append(h.versions, configuration)
	if excess := len(h.versions) - historyLength; excess > 0 {
		h.versions = slices.Clone(h.versions[excess:])
	}
	return previous
}

// update returns an update from base to version: a delta if the base is kept and a delta suffices, otherwise a
// snapshot. It returns nil if the version is not kept.
func (h *history) update(base, version uint64) *update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil && h.last.Version == version && h.lastBase == base {
		return h.last
	}
	next := h.find(version)
	if next == nil {
		return nil
	}
	result := &update{Version: version, Snapshot: next}
	if old := h.find(base); old != nil {
		if d, ok := diff(old, next); ok {
			result = &update{Version: version, Delta: d}
		}
	}
	h.last, h.lastBase = result, base
	return result
}

// latest returns an update from base to the latest version, or nil if there is none above base.
func (h *history) latest(base uint64) *update {
	h.mu.Lock()
	version := uint64(0)
	if len(h.versions) > 0 {
		version = h.versions[len(h.versions)-1].Version
	}
	h.mu.Unlock()
	if version <= base {
		return nil
	}
	return h.update(base, version)
}

func (h *history) find(version uint64) *eelgrassbeam.Configuration {
	i := slices.IndexFunc(h.versions, func(c *eelgrassbeam.Configuration) bool { return c.Version == version })
	if i < 0 || version == 0 {
		return nil
	}
	return h.versions[i]
}
