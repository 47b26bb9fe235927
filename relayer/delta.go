package relayer

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// errBaseMismatch reports a delta that does not apply to the local configuration; a snapshot is needed.
var errBaseMismatch = errors.New("delta does not apply to this base")

// update carries a configuration, as a snapshot or as a delta against an earlier version.
type update struct {
	Revision eelgrassbeam.Revision       `json:"revision"`
	Snapshot *eelgrassbeam.Configuration `json:"whole,omitempty"`
	Delta    *delta                      `json:"delta,omitempty"`
}

// id returns the identity of the configuration.
func (u *update) id() eelgrassbeam.ConfigurationID {
	switch {
	case u.Snapshot != nil:
		return eelgrassbeam.ConfigurationID{Revision: u.Revision, Change: u.Snapshot.Change.ID}
	case u.Delta != nil:
		return eelgrassbeam.ConfigurationID{Revision: u.Revision, Change: u.Delta.Change.ID}
	default:
		return eelgrassbeam.ConfigurationID{Revision: u.Revision}
	}
}

// delta holds the differences between two versions of the configuration.
type delta struct {
	Base   eelgrassbeam.Revision `json:"base"`
	Change eelgrassbeam.Change   `json:"change"`
	// History describes the recent changes of the result.
	History historyDelta `json:"history,omitzero"`
	// Digest is the digest of the resulting configuration.
	Digest uint64 `json:"digest"`
	// Defaults holds all defaults except the services; nil if none of them changed.
	Defaults *eelgrassbeam.Defaults `json:"defaults,omitempty"`
	// Services lists the added and changed services. The removal of a service needs a snapshot.
	Services []eelgrassbeam.Service `json:"services,omitempty"`
	// SetExceptions lists the added and changed exceptions; RemovedExceptions lists the IDs of the removed ones.
	SetExceptions     []eelgrassbeam.Exception `json:"set,omitempty"`
	RemovedExceptions []string                 `json:"removed,omitempty"`
}

// diff returns the delta from base to next. It returns false if the delta does not reproduce next exactly, for
// example after a service was removed or services were reordered; a snapshot is needed then.
func diff(base, next *eelgrassbeam.Configuration) (*delta, bool) {
	d := &delta{Base: base.Revision(), Change: next.Change, History: diffHistory(base, next), Digest: digestOf(*next)}
	if !isEqual(withoutServices(base.Defaults), withoutServices(next.Defaults)) {
		defaults := withoutServices(next.Defaults)
		d.Defaults = &defaults
	}
	for _, service := range next.Defaults.Services {
		if old, ok := base.Defaults.Service(service.Name); !ok || !isEqual(old, service) {
			d.Services = append(d.Services, service)
		}
	}
	old := make(map[string]eelgrassbeam.Exception, len(base.Exceptions))
	for _, exception := range base.Exceptions {
		old[exception.ID] = exception
	}
	for _, exception := range next.Exceptions {
		if known, ok := old[exception.ID]; !ok || !isEqual(known, exception) {
			d.SetExceptions = append(d.SetExceptions, exception)
		}
		delete(old, exception.ID)
	}
	for _, exception := range base.Exceptions {
		if _, ok := old[exception.ID]; ok {
			d.RemovedExceptions = append(d.RemovedExceptions, exception.ID)
		}
	}
	_, err := d.apply(base, next.Revision())
	return d, err == nil
}

// apply returns base with the delta applied, under the given revision. It returns errBaseMismatch if base is not the
// configuration that the delta was made against.
func (d *delta) apply(base *eelgrassbeam.Configuration, revision eelgrassbeam.Revision) (eelgrassbeam.Configuration, error) {
	if base.Revision() != d.Base {
		return eelgrassbeam.Configuration{}, errBaseMismatch
	}
	defaults := base.Defaults
	if d.Defaults != nil {
		defaults = *d.Defaults
	}
	defaults.Services = replace(base.Defaults.Services, d.Services, nil, func(s eelgrassbeam.Service) string { return string(s.Name) })
	exceptions := replace(base.Exceptions, d.SetExceptions, d.RemovedExceptions, func(e eelgrassbeam.Exception) string { return e.ID })
	next := base.WithRevision(revision).WithChange(d.Change).WithDefaults(defaults).WithExceptions(exceptions).
		WithRecentChanges(d.History.apply(base))
	if digestOf(next) != d.Digest {
		return eelgrassbeam.Configuration{}, errBaseMismatch
	}
	return next, nil
}

// replace returns the items without the removed keys, with those of equal key replaced by the ones in set, and with
// the remaining ones of set appended.
func replace[T any](items, set []T, removed []string, key func(T) string) []T {
	var result []T
	for _, item := range items {
		if slices.Contains(removed, key(item)) {
			continue
		}
		if i := slices.IndexFunc(set, func(s T) bool { return key(s) == key(item) }); i >= 0 {
			item = set[i]
		}
		result = append(result, item)
	}
	for _, item := range set {
		if !slices.ContainsFunc(items, func(old T) bool { return key(old) == key(item) }) {
			result = append(result, item)
		}
	}
	return result
}

func withoutServices(defaults eelgrassbeam.Defaults) eelgrassbeam.Defaults {
	defaults.Services = nil
	return defaults
}

// digestOf returns a hash of the configuration. Nil and empty exceptions hash alike, although their JSON differs.
func digestOf(configuration eelgrassbeam.Configuration) uint64 {
	if len(configuration.Exceptions) == 0 {
		configuration.Exceptions = nil
	}
	return xxhash.Sum64(encode(configuration))
}

func isEqual[T any](a, b T) bool { return slices.Equal(encode(a), encode(b)) }

// encode returns the value as JSON. Encoding does not fail, since the values were decoded from JSON before.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}
