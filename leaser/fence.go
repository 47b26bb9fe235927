package leaser

import (
	"errors"
	"fmt"
	"sync"
)

// ErrFenced is returned for an operation under a lease that a later holder has taken over.
var ErrFenced = errors.New("fencing token is stale")

// Fence checks fencing tokens at a receiver. The highest tokens are kept in memory only and lost on restart.
type Fence struct {
	mu      sync.Mutex
	highest map[string]uint64

	// skipCheck disables the check; for tests only.
	skipCheck bool
}

// NewFence returns a Fence without any admitted token.
func NewFence() *Fence { return &Fence{highest: make(map[string]uint64)} }

// Admit records the fencing token of the lease and returns ErrFenced if a higher one has been admitted.
func (f *Fence) Admit(lease string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest[lease] && !f.skipCheck {
		return fmt.Errorf("%w: lease %s: token %d is below %d", ErrFenced, lease, token, f.highest[lease])
	}
	f.highest[lease] = max(f.highest[lease], token)
	return nil
}
