package upstream

import (
	"context"
	"fmt"
)

// reservation is the buffer space of one response, of its head and of its body. It is used by one goroutine at a time: the
// one that reads the head, then the one that reads the body.
type reservation struct {
	limits         Limits
	used, reserved int64
}

func newReservation(limits Limits) *reservation {
	return &reservation{limits: limits, reserved: limits.ReservedBytes}
}

// add reserves space for more bytes, as far as it isn't reserved yet. It returns ErrNoBuffer without space.
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
