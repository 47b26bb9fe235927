package relayer

import (
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// seenCapacity is the number of trees that an entry remembers.
const seenCapacity = 256

// treeID identifies one broadcast tree.
type treeID struct {
	root  eelgrassbeam.EntryID
	key   uint64
	scope scope
}

// seenTrees remembers the latest seenCapacity trees, so that this entry forwards each of them at most once.
type seenTrees struct {
	mu    sync.Mutex
	trees map[treeID]bool
	// ring holds the trees in order of arrival, with the oldest at index next.
	ring [seenCapacity]treeID
	next int
}

func newSeenTrees() *seenTrees { return &seenTrees{trees: make(map[treeID]bool, seenCapacity)} }

// add records the tree and reports whether it is new.
func (s *seenTrees) add(id treeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trees[id] {
		return false
	}
	delete(s.trees, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % seenCapacity
	s.trees[id] = true
	return true
}
