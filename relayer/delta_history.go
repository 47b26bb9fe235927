package relayer

import (
	"slices"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// historyDelta describes the recent changes of a configuration by those of a base. A configuration that follows its
// base adds nothing: the base's own change is the latest of its recent ones.
type historyDelta struct {
	// Added lists the changes after those of the base, newest first.
	Added []eelgrassbeam.Change `json:"added,omitempty"`
	// Skipped and Kept tell which changes of the base follow.
	Skipped int `json:"skipped,omitempty"`
	Kept    int `json:"kept,omitempty"`
}

// diffHistory returns the difference between the recent changes of base and next. If next has changed one of those that
// it shares with base, the result doesn't reproduce them.
func diffHistory(base, next *eelgrassbeam.Configuration) historyDelta {
	changes := changesUpTo(base)
	for i, change := range next.RecentChanges {
		skipped := slices.IndexFunc(changes, func(c eelgrassbeam.Change) bool { return c.ID == change.ID })
		if skipped >= 0 {
			return historyDelta{Added: next.RecentChanges[:i], Skipped: skipped, Kept: len(next.RecentChanges) - i}
		}
	}
	return historyDelta{Added: next.RecentChanges}
}

// apply returns the recent changes that the difference describes.
func (h historyDelta) apply(base *eelgrassbeam.Configuration) []eelgrassbeam.Change {
	changes := changesUpTo(base)
	first := min(max(h.Skipped, 0), len(changes))
	last := min(first+max(h.Kept, 0), len(changes))
	return append(slices.Clone(h.Added), changes[first:last]...)
}

// changesUpTo returns the change that made the configuration, without its note, and its recent changes.
func changesUpTo(c *eelgrassbeam.Configuration) []eelgrassbeam.Change {
	last := c.Change
	last.Note = ""
	return append([]eelgrassbeam.Change{last}, c.RecentChanges...)
}
