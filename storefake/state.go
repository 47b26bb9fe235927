package storefake

import "github.com/eelgrassbeam/eelgrassbeam"

func notFoundUnless(ok bool) error {
	if ok {
		return nil
	}
	return eelgrassbeam.ErrNotFound
}

func (s *Store) call(operation, kind, name string, apply func(current Object, ok bool) (Object, error)) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls[operation]++
	if s.Down {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	current, ok := s.objects[key{kind, name}]
	result, err := apply(current, ok)
	if s.Lose != nil && s.Lose(operation) {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	return result, err
}

func (s *Store) replace(operation string, next Object, deleted bool) (Object, error) {
	return s.call(operation, next.Kind, next.Name, func(current Object, ok bool) (Object, error) {
		if ok && current.Version != next.Version {
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

// Touch increments the store revision. Call it from the function passed to Set after changing Rows.
func (s *Store) Touch() { s.revision++ }
