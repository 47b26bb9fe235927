package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// holding is how long this entry has been a bucket's home in its own view.
type holding struct {
	since time.Time // zero where another entry is the home
	noted time.Time
}

// mayRunUnclaimed tells whether the home may run a new key without the platform.
func (k *Keeper) mayRunUnclaimed(ctx context.Context, request eelgrassbeam.Request, err error) bool {
	if !k.config.RunUnclaimed || !errors.Is(err, ErrUnclaimed) || ctx.Err() != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.held[bucketOf(request.IdempotencyKey)].since
	return !since.IsZero() && k.config.Clock.Now().Sub(since) >= k.keepTime()
}

// noteHome notes whether this entry is the bucket's home; a gap between notes counts as a break.
func (k *Keeper) noteHome(bucket int) {
	home, ok := bucketHome(k.config.Fleet.Fleet(), k.config.Self.Region, bucket)
	now := k.config.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	held := &k.held[bucket]
	if held.since.IsZero() || now.Sub(held.noted) > maxNoteGap {
		held.since = now
	}
	held.noted = now
	if !ok || home.ID != k.config.Self.ID {
		held.since = time.Time{}
	}
}
