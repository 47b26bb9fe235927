package deduplicator

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
func (d *Deduplicator) mayRunUnclaimed(ctx context.Context, request eelgrassbeam.Request, err error) bool {
	if !d.config.RunUnclaimed || !errors.Is(err, ErrUnclaimed) || ctx.Err() != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.tenures[bucketOf(request.IdempotencyKey)].since
	return !since.IsZero() && d.config.Clock.Now().Sub(since) >= d.claimRetention()
}

// updateTenure checks whether this entry is the bucket's home. A gap of more than maxTenureGap restarts the tenure.
func (d *Deduplicator) updateTenure(bucket int) {
	home, ok := bucketHome(d.config.Fleet.Fleet(), d.config.Self.Region, bucket)
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	tenure := &d.tenures[bucket]
	if tenure.since.IsZero() || now.Sub(tenure.checkedAt) > maxTenureGap {
		tenure.since = now
	}
	tenure.checkedAt = now
	if !ok || home.ID != d.config.Self.ID {
		tenure.since = time.Time{}
	}
}
