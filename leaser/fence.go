package leaser

import (
	"errors"
	"fmt"
	"sync"
)

// ErrFenced reports an operation under a lease that a later holder has taken over.
var ErrFenced = errors.New("fencing version is too old")

// Fence is the receiver's check of fencing versions. It remembers them as long as its process runs.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64

	// admitsAll turns the check off; tests only.
	admitsAll bool
}

// NewFence returns a fence that has seen no lease.
func NewFence() *Fence { return &Fence{highest: make(map[string]uint64)} }

// Admit notes the fencing version of the lease and returns ErrFenced if a higher one has been seen.
func (f *Fence) Admit(lease string, version uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.highest[lease] && !f.admitsAll {
		return fmt.Errorf("%w: %s version %d is below %d", ErrFenced, lease, version, f.highest[lease])
	}
	f.highest[lease] = max(f.highest[lease], version)
	return nil
}
