package upstream

import (
	"context"
	"fmt"
)

// reservation accounts for the buffer space of one response, head and body. It is used by one goroutine at a time: first by
// the one that reads the head, then by the one that reads the body.
type reservation struct {
	limits         Limits
	used, reserved int64
}

func newReservation(limits Limits) *reservation {
	return &reservation{limits: limits, reserved: limits.ReservedBytes}
}

// add accounts for more bytes and reserves the space that they need above ReservedBytes. It returns ErrNoBuffer if there is
// none.
func (r *reservation) add(ctx context.Context, bytes int64) error {
	r.used += bytes
	if r.used <= r.reserved || r.limits.Reserve == nil {
		return nil
	}
	if err := r.limits.Reserve(ctx, r.used-r.reserved); err != nil {
		return fmt.Errorf("%w: %w", ErrNoBuffer, err)
	}
	r.reserved = r.used
	return nil
}
