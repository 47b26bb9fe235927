package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// eraCheckInterval is the longest time without an answer of the store after which an entry with claims asks for its era.
const eraCheckInterval = time.Second

// storeEra is the latest era of the store that an answer has shown to any bucket of this entry.
type storeEra struct {
	mu  sync.Mutex
	era uint64
	// checkedAt is the time of the last answer or, if later, of the last attempt to get one.
	checkedAt time.Time
}

func (s *storeEra) observe(era uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.checkedAt = max(s.era, era), now
}

func (s *storeEra) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// beginCheck reports whether the caller is to ask the store for its era. It does so for one caller an interval.
func (s *storeEra) beginCheck(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checkedAt) < eraCheckInterval {
		return false
	}
	s.checkedAt = now
	return true
}

// ranClaim is a claim under which this home has run a request or is running it.
type ranClaim struct {
	claim     Claim
	claimedAt time.Time
}

// enterEra notes the era of the store for the claims of the bucket, so that no request starts under an earlier one, and
// returns the claims of earlier eras under which requests have run or are running, oldest first.
func (t *table) enterEra(bucket int, era uint64) []ranClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eras[bucket] = era
	var earlier []ranClaim
	for key, known := range t.records {
		if known.claimedAt.IsZero() || known.claimEra >= era || known.hasNotRun() || bucketOf(key.key) != bucket {
			continue
		}
		earlier = append(earlier, ranClaim{claim: Claim{Key: key.hash(), Fingerprint: known.fingerprint}, claimedAt: known.claimedAt})
	}
	slices.SortFunc(earlier, func(a, b ranClaim) int { return a.claimedAt.Compare(b.claimedAt) })
	return earlier
}

// observe notes the era of a revision that the store has returned. If it is later than the known one, the store was
// restored and may have lost the claims of earlier eras.
func (c *committer) observe(revision eelgrassbeam.Revision) {
	c.deduplicator.era.observe(revision.Era(), c.deduplicator.config.Clock.Now())
	c.enterEra(revision.Era())
}

// enterEra prepares to write the claims of earlier eras again if the era is later than the known one.
func (c *committer) enterEra(era uint64) {
	if era <= c.era {
		return
	}
	c.era = era
	c.lost = c.deduplicator.table.enterEra(c.bucket, era)
	if len(c.lost) > 0 {
		c.deduplicator.config.Log.WithFields(logrus.Fields{
			"event": "claims_of_earlier_era", "bucket": c.bucket, "era": era, "claims": len(c.lost),
		}).Warn("")
	}
}

// checkEra takes over the era that another bucket has learned. If no bucket has had an answer of the store for a while,
// it asks for the era, so that a home without new keys also learns of a restoration.
func (c *committer) checkEra(ctx context.Context) {
	if now := c.deduplicator.config.Clock.Now(); c.hasClaims(now) && c.deduplicator.era.beginCheck(now) {
		if err := c.askEra(ctx); err != nil {
			c.deduplicator.config.Log.WithFields(logrus.Fields{
				"event": "era_unknown", "bucket": c.bucket, "error": err.Error(),
			}).Warn("")
		}
	}
	c.enterEra(c.deduplicator.era.current())
}

func (c *committer) hasClaims(now time.Time) bool {
	return len(c.ownObjects) > 0 && now.Sub(c.ownObjects[len(c.ownObjects)-1].writtenAt) <= c.deduplicator.claimRetention()
}

func (c *committer) latest() eelgrassbeam.Object { return c.ownObjects[len(c.ownObjects)-1].object }

// readLatest reads the latest claim object of this home. Its version differs in a later era.
func (c *committer) readLatest(ctx context.Context) (eelgrassbeam.Object, error) {
	found, err := c.deduplicator.config.Store.Get(ctx, c.latest().Kind, c.latest().Name)
	if err == nil {
		c.observe(found.Version)
	}
	return found, err
}

// confirmEarlier completes the claims of a batch of keys that all have earlier claims of the present era, if one read
// shows that this era lasts, or fails. Otherwise it returns false, and the batch is to be written.
func (c *committer) confirmEarlier(ctx context.Context, batch []pendingClaim) bool {
	needsWrite := func(p pendingClaim) bool { return !p.hasEarlier || p.earlierEra != c.era }
	if len(c.ownObjects) == 0 || c.latest().Version.Era() != c.era || slices.ContainsFunc(batch, needsWrite) {
		return false
	}
	found, err := c.readLatest(ctx)
	switch {
	case errors.Is(err, eelgrassbeam.ErrNotFound) || err == nil && found.Version != c.latest().Version:
		return false
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrUnclaimed, err)
		c.deduplicator.observeCommit(len(batch), err)
	}
	for _, p := range batch {
		c.complete(p, found, err)
	}
	return true
}

// askEra reads the latest claim object of this home. If the store doesn't have it, a list shows the era.
func (c *committer) askEra(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.readLatest(ctx); !errors.Is(err, eelgrassbeam.ErrNotFound) {
		return err
	}
	if err := c.view.readAll(ctx); err != nil {
		return err
	}
	c.observe(c.view.revision)
	return nil
}

// rewriteLost writes the claims of earlier eras again, with their ages, so that homes that read them only now keep them
// no longer than the others. What it can't write stays for the next attempt.
func (c *committer) rewriteLost(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for c.dropExpiredLost(); len(c.lost) > 0; {
		now := c.deduplicator.config.Clock.Now()
		c.limiter.ReserveN(now, 1)
		var batch []pendingClaim
		for _, lost := range c.lost[:min(len(c.lost), maxBatch)] {
			lost.claim.Age.Duration = now.Sub(lost.claimedAt).Truncate(time.Second)
			batch = append(batch, pendingClaim{claim: lost.claim})
		}
		era := c.era
		_, err := c.write(ctx, batch)
		c.deduplicator.observeCommit(len(batch), err)
		if err != nil {
			return
		}
		if c.era == era {
			c.lost = c.lost[len(batch):]
		}
	}
}

func (c *committer) dropExpiredLost() {
	oldest := c.deduplicator.config.Clock.Now().Add(-c.deduplicator.claimRetention())
	c.lost = slices.DeleteFunc(c.lost, func(lost ranClaim) bool { return lost.claimedAt.Before(oldest) })
}
