package relayer

import (
	"slices"
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// historyLength is the number of versions kept as bases of deltas.
const historyLength = 4

// history keeps the latest configurations that were in force here, oldest first.
type history struct {
	mu       sync.Mutex
	versions []*eelgrassbeam.Configuration
	// last is the update made last, which all children and most pulls ask for again.
	last     *update
	lastBase uint64
}

// add keeps the configuration and returns the version before it, zero if there was none.
func (h *history) add(configuration *eelgrassbeam.Configuration) (before uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) > 0 {
		before = h.versions[len(h.versions)-1].Version
	}
	h.versions = append(h.versions, configuration)
	if excess := len(h.versions) - historyLength; excess > 0 {
		h.versions = slices.Clone(h.versions[excess:])
	}
	return before
}

// update returns what leads from the base to the version: a delta where the base is kept; nil where the version is not.
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
	made := &update{Version: version, Whole: next}
	if old := h.find(base); old != nil {
		if d, ok := diff(old, next); ok {
			made = &update{Version: version, Delta: d}
		}
	}
	h.last, h.lastBase = made, base
	return made
}

// newest returns what leads from the base to the newest version; nil where there is none above the base.
func (h *history) newest(base uint64) *update {
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
