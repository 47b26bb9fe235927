package standin

import (
	"slices"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// objectKey identifies one object.
type objectKey struct{ kind, name string }

// objects is the versioned object table with a bounded history of changes. Its
// user holds a lock around each call.
type objects struct {
	revision  uint64
	compacted uint64
	history   int
	rows      map[objectKey]eelgrassbeam.Object
	events    []eelgrassbeam.ObjectEvent
}

func newObjects(history int) *objects {
	return &objects{history: history, rows: make(map[objectKey]eelgrassbeam.Object)}
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

// create returns errConflict with the current object if there is one.
func (o *objects) create(key objectKey, value []byte) (eelgrassbeam.Object, error) {
	if current, ok := o.rows[key]; ok {
		return current, errConflict
	}
	return o.store(key, value), nil
}

// update returns errConflict with the current object if its version is another one than a given version. A write that changes nothing
// leaves the version as it is.
func (o *objects) update(key objectKey, version uint64, value []byte) (eelgrassbeam.Object, error) {
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
	return o.store(key, value), nil
}

// delete returns errConflict with the current object if its version is another.
func (o *objects) delete(key objectKey, version uint64) (eelgrassbeam.Object, error) {
	current, ok := o.rows[key]
	if !ok {
		return eelgrassbeam.Object{}, errNotFound
	}
	if current.Version != version {
		return current, errConflict
	}
	delete(o.rows, key)
	o.revision++
	gone := eelgrassbeam.Object{Kind: key.kind, Name: key.name, Version: o.revision}
	o.record(eelgrassbeam.ObjectEvent{Object: gone, Deleted: true})
	return gone, nil
}

// changes returns the kind's events after the revision.
func (o *objects) changes(kind string, after uint64) (eelgrassbeam.ObjectEvents, error) {
	if after < o.compacted {
		return eelgrassbeam.ObjectEvents{}, errCompacted
	}
	found := eelgrassbeam.ObjectEvents{Revision: o.revision, Events: []eelgrassbeam.ObjectEvent{}}
	for _, event := range o.events {
		if event.Object.Kind == kind && event.Object.Version > after {
			found.Events = append(found.Events, event)
		}
	}
	return found, nil
}

// forget drops the history of changes; the objects stay.
func (o *objects) forget() {
	o.compacted, o.events = o.revision, nil
}

func (o *objects) store(key objectKey, value []byte) eelgrassbeam.Object {
	o.revision++
	object := eelgrassbeam.Object{Kind: key.kind, Name: key.name, Version: o.revision, Value: value}
	o.rows[key] = object
	o.record(eelgrassbeam.ObjectEvent{Object: object})
	return object
}

func (o *objects) record(event eelgrassbeam.ObjectEvent) {
	o.events = append(o.events, event)
	if len(o.events) <= o.history {
		return
	}
	o.compacted = o.events[0].Object.Version
	o.events = slices.Delete(o.events, 0, 1)
}
