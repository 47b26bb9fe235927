package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// firstEra is the era of a store that has never been restored; a store without eras has era 0.
const firstEra = 1

// reading is what the store shows of the lease at one revision.
type reading struct {
	exists bool
	// version is the version of the object, or the store's era without a counter if there is none.
	version eelgrassbeam.Revision
	// revision is the version of the object, or the store's revision if there is none.
	revision eelgrassbeam.Revision
	held     record
}

// isCurrent reports whether the record was written in the store's present era, so that no later one can be lost.
func (r reading) isCurrent() bool { return r.exists && r.held.Era == r.version.Era() }

// isFree reports whether no one can count on the lease. A store that was restored may have lost a holder's record where
// it shows none, or one that was released before.
func (r reading) isFree() bool {
	if !r.exists {
		return r.version.Era() <= firstEra
	}
	return r.held.Term.Duration == 0 && r.isCurrent()
}

// read reads the lease object and updates the local state from it.
func (l *Lease) read(ctx context.Context) (reading, error) {
	object, err := l.config.Store.Get(ctx, Kind, l.config.Name)
	if errors.Is(err, eelgrassbeam.ErrNotFound) {
		return l.readFromList(ctx)
	}
	if err != nil {
		return reading{}, fmt.Errorf("read lease %s: %w", l.config.Name, err)
	}
	return l.decode(object)
}

// readFromList reads the lease from a list, which shows the store's era also if there is no such object.
func (l *Lease) readFromList(ctx context.Context) (reading, error) {
	list, err := l.config.Store.List(ctx, Kind)
	if err != nil {
		return reading{}, fmt.Errorf("list leases: %w", err)
	}
	for _, object := range list.Objects {
		if object.Name == l.config.Name {
			return l.decode(object)
		}
	}
	found := reading{version: eelgrassbeam.NewRevision(list.Revision.Era(), 0), revision: list.Revision}
	l.reconcile(found)
	return found, nil
}

func (l *Lease) decode(object eelgrassbeam.Object) (reading, error) {
	found := reading{exists: true, version: object.Version, revision: object.Version}
	if err := json.Unmarshal(object.Value, &found.held); err != nil {
		return reading{}, fmt.Errorf("%w: decode lease %s: %w", eelgrassbeam.ErrInvalid, l.config.Name, err)
	}
	l.reconcile(found)
	return found, nil
}
