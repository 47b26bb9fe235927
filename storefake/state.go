package storefake

import "github.com/eelgrassbeam/eelgrassbeam"

func notFoundUnless(ok bool) error {
	if ok {
		return nil
	}
	return eelgrassbeam.ErrNotFound
}

// call counts the operation and applies the function to the current object, subject to the faults Down and
// LoseResponse.
func (s *Store) call(operation, kind, name string, apply func(current Object, ok bool) (Object, error)) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls[operation]++
	if s.Down {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	current, ok := s.objects[key{kind, name}]
	result, err := apply(current, ok)
	if s.LoseResponse != nil && s.LoseResponse(operation) {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	return result, err
}

// write updates or deletes the object if its version is the current one. The platform compares counters alone. Its
// client refuses versions of an earlier era, but can't check those without an era.
func (s *Store) write(operation string, next Object, deleted bool) (Object, error) {
	return s.call(operation, next.Kind, next.Name, func(current Object, ok bool) (Object, error) {
		if expected := next.Version; expected.Era() != 0 && expected.Era() < s.revision.Era() {
			return Object{}, &eelgrassbeam.VersionConflictError{Current: Object{Kind: next.Kind, Name: next.Name}}
		}
		if ok && current.Version.Counter() != next.Version.Counter() {
			return current, &eelgrassbeam.VersionConflictError{Current: current}
		}
		if !ok {
			return current, notFoundUnless(ok)
		}
		return s.put(next, deleted), nil
	})
}

func (s *Store) put(next Object, deleted bool) Object {
	s.revision++
	next.Version = s.revision
	s.objects[key{next.Kind, next.Name}] = next
	if deleted {
		delete(s.objects, key{next.Kind, next.Name})
	}
	s.events = append(s.events, eelgrassbeam.ObjectEvent{Object: next, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return next
}

// IncrementRevision increments the store revision. Call it in the function passed to WithLock after changing Rows.
func (s *Store) IncrementRevision() { s.revision++ }
