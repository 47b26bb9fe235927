package relayer

import (
	"sync"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// seenLength is the number of trees that an entry remembers.
const seenLength = 256

// treeID names one tree.
type treeID struct {
	root  eelgrassbeam.EntryID
	key   uint64
	scope scope
}

// seen remembers the latest trees that came through, so that each is passed on once, whether or not its news came before by another.
type seen struct {
	mu    sync.Mutex
	trees map[treeID]bool
	// order is a ring of the trees, the oldest at next.
	order [seenLength]treeID
	next  int
}

func newSeen() *seen { return &seen{trees: make(map[treeID]bool, seenLength)} }

// add tells whether the tree is new.
func (s *seen) add(id treeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trees[id] {
		return false
	}
	delete(s.trees, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % seenLength
	s.trees[id] = true
	return true
}
