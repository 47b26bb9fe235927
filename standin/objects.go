package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// objectKey identifies one object.
type objectKey struct{ kind, name string }

// objects is a table of versioned objects with a bounded history of changes. The caller synchronizes access.
type objects struct {
	// era is the number of restorations plus one, and restoredRevision the revision at its start.
	era               uint64
	restoredRevision  eelgrassbeam.Revision
	revision          eelgrassbeam.Revision
	compactedRevision eelgrassbeam.Revision
	historyLimit      int
	rows              map[objectKey]eelgrassbeam.Object
	events            []eelgrassbeam.ObjectEvent
}

func newObjects(history int) *objects {
	return &objects{era: 1, historyLimit: history, rows: make(map[objectKey]eelgrassbeam.Object)}
}

func (o *objects) get(key objectKey) (eelgrassbeam.Object, error) {
	object, ok := o.rows[key]
	if !ok {
		return eelgrassbeam.Object{}, errNotFound
	}
	return object, nil
}

func (o *objects) list(kind string) eelgrassbeam.ObjectList {
	list := eelgrassbeam.ObjectList{Revision: o.revision, Objects: []eelgrassbeam.Object{}}
	for key, object := range o.rows {
		if key.kind == kind {
			list.Objects = append(list.Objects, object)
		}
	}
	slices.SortFunc(list.Objects, func(a, b eelgrassbeam.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// create adds the object. It returns the current object and errConflict if there is one.
func (o *objects) create(key objectKey, value []byte) (eelgrassbeam.Object, error) {
	if current, ok := o.rows[key]; ok {
		return current, errConflict
	}
	return o.put(key, value), nil
}

// update replaces the object's value. It returns the current object and errConflict if version is not 0 and differs
// from the object's version. A heartbeat leaves the version as it is and is not recorded as an event.
func (o *objects) update(key objectKey, version eelgrassbeam.Revision, value []byte) (eelgrassbeam.Object, error) {
	current, ok := o.rows[key]
	if !ok {
		return eelgrassbeam.Object{}, errNotFound
	}
	if version != 0 && current.Version != version {
		return current, errConflict
	}
	if isHeartbeat(key.kind, current.Value, value) {
		current.Value = value
		o.rows[key] = current
		return current, nil
	}
	return o.put(key, value), nil
}

// delete removes the object. It returns the current object and errConflict if its version differs.
func (o *objects) delete(key objectKey, version eelgrassbeam.Revision) (eelgrassbeam.Object, error) {
	current, ok := o.rows[key]
	if !ok {
		return eelgrassbeam.Object{}, errNotFound
	}
	if current.Version != version {
		return current, errConflict
	}
	delete(o.rows, key)
	o.revision++
	tombstone := eelgrassbeam.Object{Kind: key.kind, Name: key.name, Version: o.revision}
	o.appendEvent(eelgrassbeam.ObjectEvent{Object: tombstone, Deleted: true})
	return tombstone, nil
}

// changes returns the kind's events after the revision, errCompacted if some of them are no longer in the history, or
// errAhead if the revision is one that the store does not have or has lost since the given era.
func (o *objects) changes(kind string, after eelgrassbeam.Revision, era uint64) (eelgrassbeam.ObjectEvents, error) {
	if after < o.compactedRevision {
		return eelgrassbeam.ObjectEvents{}, errCompacted
	}
	if after > o.revision || era != o.era && after > o.restoredRevision {
		return eelgrassbeam.ObjectEvents{}, errAhead
	}
	found := eelgrassbeam.ObjectEvents{Revision: o.revision, Events: []eelgrassbeam.ObjectEvent{}}
	for _, event := range o.events {
		if event.Object.Kind == kind && event.Object.Version > after {
			found.Events = append(found.Events, event)
		}
	}
	return found, nil
}

// compact drops the history of changes and keeps the objects.
func (o *objects) compact() {
	o.compactedRevision, o.events = o.revision, nil
}

// clone returns a copy that later changes of o do not affect.
func (o *objects) clone() *objects {
	c := *o
	c.rows, c.events = maps.Clone(o.rows), slices.Clone(o.events)
	return &c
}

// restored returns the objects, the revision and the history of the copy in the era after o's.
func (o *objects) restored(backup *objects) *objects {
	r := backup.clone()
	r.era, r.restoredRevision = o.era+1, r.revision
	return r
}

func (o *objects) put(key objectKey, value []byte) eelgrassbeam.Object {
	o.revision++
	object := eelgrassbeam.Object{Kind: key.kind, Name: key.name, Version: o.revision, Value: value}
	o.rows[key] = object
	o.appendEvent(eelgrassbeam.ObjectEvent{Object: object})
	return object
}

func (o *objects) appendEvent(event eelgrassbeam.ObjectEvent) {
	o.events = append(o.events, event)
	if len(o.events) <= o.historyLimit {
		return
	}
	o.compactedRevision = o.events[0].Object.Version
	o.events = slices.Delete(o.events, 0, 1)
}
