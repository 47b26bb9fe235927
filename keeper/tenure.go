package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// homeTenure is the time for which this entry has continuously been the home of a bucket in its own fleet view.
type homeTenure struct {
	since     time.Time // zero if another entry is the home
	checkedAt time.Time
}

// mayRunUnclaimed reports whether a new key may run here without a claim because the platform is unavailable.
func (k *Keeper) mayRunUnclaimed(ctx context.Context, request eelgrassbeam.Request, err error) bool {
	if !k.config.RunUnclaimed || !errors.Is(err, ErrUnclaimed) || ctx.Err() != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.tenures[bucketOf(request.IdempotencyKey)].since
	return !since.IsZero() && k.config.Clock.Now().Sub(since) >= k.claimRetention()
}

// updateTenure checks whether this entry is the bucket's home. A gap of more than maxTenureGap restarts the tenure.
func (k *Keeper) updateTenure(bucket int) {
	home, ok := bucketHome(k.config.Fleet.Fleet(), k.config.Self.Region, bucket)
	now := k.config.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	tenure := &k.tenures[bucket]
	if tenure.since.IsZero() || now.Sub(tenure.checkedAt) > maxTenureGap {
		tenure.since = now
	}
	tenure.checkedAt = now
	if !ok || home.ID != k.config.Self.ID {
		tenure.since = time.Time{}
	}
}
