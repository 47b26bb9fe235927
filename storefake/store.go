// Package storefake provides an in-memory eelgrassbeam.Store for tests, with call counts and injected faults.
package storefake

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

type (
	// Object is a stored object.
	Object = eelgrassbeam.Object
	key    struct{ kind, name string }
)

// Store implements eelgrassbeam.Store. While calls are in progress, access its fields only in a function passed to
// WithLock.
type Store struct {
	// LoseResponse reports whether a call of the operation takes effect but fails with ErrUnavailable, as if the
	// response were lost. Nil for never.
	LoseResponse func(operation string) bool
	// Down makes all calls fail with ErrUnavailable, without effect.
	Down bool
	// Rows is the content of the instance list, which the method Instances returns.
	Rows []eelgrassbeam.Instance
	// Calls counts the calls by operation. A change that wakes up a waiting watch counts as "wake".
	Calls map[string]int

	mu       sync.Mutex
	revision eelgrassbeam.Revision
	objects  map[key]Object
	events   []eelgrassbeam.ObjectEvent
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: eelgrassbeam.NewRevision(1, 0), objects: map[key]Object{}, changed: make(chan struct{}), Calls: map[string]int{}}
}

// WithLock calls the function with the store locked.
func (s *Store) WithLock(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Get implements eelgrassbeam.Store.
func (s *Store) Get(_ context.Context, kind, name string) (found Object, err error) {
	return s.call("get", kind, name, func(current Object, ok bool) (Object, error) { return current, notFoundUnless(ok) })
}

// Create implements eelgrassbeam.Store.
func (s *Store) Create(_ context.Context, kind, name string, value []byte) (Object, error) {
	return s.call("create", kind, name, func(current Object, ok bool) (Object, error) {
		if ok {
			return current, &eelgrassbeam.VersionConflictError{Current: current}
		}
		return s.put(Object{Kind: kind, Name: name, Value: value}, false), nil
	})
}

// Update implements eelgrassbeam.Store.
func (s *Store) Update(_ context.Context, next Object) (Object, error) {
	return s.write("update", next, false)
}

// Delete implements eelgrassbeam.Store.
func (s *Store) Delete(_ context.Context, kind, name string, version eelgrassbeam.Revision) error {
	_, err := s.write("delete", Object{Kind: kind, Name: name, Version: version}, true)
	return err
}

// List implements eelgrassbeam.Store.
func (s *Store) List(_ context.Context, kind string) (list eelgrassbeam.ObjectList, err error) {
	_, err = s.call("list", kind, "", func(Object, bool) (Object, error) {
		list.Revision = s.revision
		for key, found := range s.objects {
			if key.kind == kind {
				list.Objects = append(list.Objects, found)
			}
		}
		return Object{}, nil
	})
	return list, err
}

// Instances implements eelgrassbeam.Store.
func (s *Store) Instances(context.Context) (list eelgrassbeam.InstanceList, err error) {
	_, err = s.call("instances", "", "", func(Object, bool) (Object, error) {
		list = eelgrassbeam.InstanceList{Revision: s.revision, Instances: s.Rows}
		return Object{}, nil
	})
	return list, err
}

// Watch implements eelgrassbeam.Store.
func (s *Store) Watch(ctx context.Context, kind string, after eelgrassbeam.Revision, wait time.Duration) (found eelgrassbeam.ObjectEvents, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for operation := "watch"; ; operation = "wake" {
		var changed chan struct{}
		_, err = s.call(operation, kind, "", func(Object, bool) (Object, error) {
			if after.Era() != s.revision.Era() {
				return Object{}, eelgrassbeam.ErrCompacted
			}
			found.Revision, changed = s.revision, s.changed
			for _, event := range s.events {
				if event.Object.Kind == kind && event.Object.Version > after {
					found.Events = append(found.Events, event)
				}
			}
			return Object{}, nil
		})
		if err != nil || len(found.Events) > 0 {
			return found, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return found, nil
		}
	}
}
