package storefake

import "github.com/eelgrassbeam/eelgrassbeam"

func missing(ok bool) error {
	if ok {
		return nil
	}
	return eelgrassbeam.ErrNotFound
}

func (s *Store) do(operation, kind, name string, run func(current Object, ok bool) (Object, error)) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Calls[operation]++
	if s.Down {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	current, ok := s.objects[key{kind, name}]
	result, err := run(current, ok)
	if s.Lose != nil && s.Lose(operation) {
		return Object{}, eelgrassbeam.ErrUnavailable
	}
	return result, err
}

func (s *Store) replace(operation string, next Object, deleted bool) (Object, error) {
	return s.do(operation, next.Kind, next.Name, func(current Object, ok bool) (Object, error) {
		if ok && current.Version != next.Version {
			return current, &eelgrassbeam.VersionConflictError{Current: current}
		}
		if !ok {
			return current, missing(ok)
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

// Touch raises the revision; call it under Set after a change of Rows.
func (s *Store) Touch() { s.revision++ }
