package storefake

import (
	"maps"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Copy is the content of a store at one revision.
type Copy struct {
	counter uint64
	objects map[key]Object
}

// Copy returns a copy of the current objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{counter: s.revision.Counter(), objects: maps.Clone(s.objects)}
}

// Restore brings the store back from the copy: changes since then are lost, their counters are given out again in the
// next era, and the versions of all objects are read as of that era. The instance list keeps its rows.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision, s.objects = eelgrassbeam.NewRevision(era, from.counter), maps.Clone(from.objects)
	for key, object := range s.objects {
		object.Version = eelgrassbeam.NewRevision(era, object.Version.Counter())
		s.objects[key] = object
	}
	s.events = nil // all of them are of earlier eras, and so are the watches that could read them
	close(s.changed)
	s.changed = make(chan struct{})
}
