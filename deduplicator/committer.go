package deduplicator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// pendingClaim is a claim that has not been committed yet.
type pendingClaim struct {
	ctx    context.Context
	claim  Claim
	result chan claimResult // buffered; receives exactly one value
	// retryUntil is when a failing claim is given up; claims with running set are retried without limit.
	retryUntil time.Time
	// hasEarlier marks a key with an earlier claim, written in earlierEra. It needs another one only if that era is over.
	hasEarlier bool
	earlierEra uint64
	// running marks a request that started without a claim; the claim is written so that later homes do not rerun it.
	running bool
	// key and queuedAt are set if running is.
	key      scopedKey
	queuedAt time.Time
}

// claimResult is the outcome of a claim and the era of the store in which it was written. isEarlier is true if the
// key's earlier claim was confirmed.
type claimResult struct {
	era       uint64
	isEarlier bool
	err       error
}

// ownObject is a claim object written by this home; it is reused once its claims have expired.
type ownObject struct {
	object    eelgrassbeam.Object
	writtenAt time.Time
}

// committer writes the claims of one bucket, batching concurrent claims into one object (group commit).
type committer struct {
	deduplicator *Deduplicator
	bucket       int
	queue        chan pendingClaim
	limiter      *rate.Limiter // limits platform writes
	view         *claimView
	ownObjects   []ownObject // ordered by writtenAt
	sequence     uint64
	rateLimited  bool           // the last commit was delayed by the limiter
	retries      []pendingClaim // claims to attempt again
	era          uint64         // the latest era of the store that is known here
	lost         []ranClaim     // claims of earlier eras that are not written again yet, oldest first
}

func (c *committer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			c.commit(ctx, c.collectBatch(ctx, first))
		case <-c.deduplicator.config.Clock.After(c.nextSweepDelay()):
			c.sweep(ctx)
		}
		c.deduplicator.updateTenure(c.bucket)
	}
}

// nextSweepDelay returns the time to the next sweep, which is shorter while claims wait for a retry.
func (c *committer) nextSweepDelay() time.Duration {
	if len(c.retries) > 0 || len(c.lost) > 0 {
		return claimRetryInterval
	}
	return sweepInterval
}

// collectBatch adds claims to the batch until the batch window and the rate limit delay have passed or it is full.
func (c *committer) collectBatch(ctx context.Context, first pendingClaim) []pendingClaim {
	batch := []pendingClaim{first}
	now := c.deduplicator.config.Clock.Now()
	limiterDelay := c.limiter.ReserveN(now, 1).DelayFrom(now)
	c.rateLimited = limiterDelay > 0
	window := max(batchWindow, limiterDelay)
	timeout := c.deduplicator.config.Clock.After(window)
	for len(batch) < maxBatch {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		case <-timeout:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit writes the claims as one object and reports to each caller whether its claim is the first for the key.
func (c *committer) commit(ctx context.Context, batch []pendingClaim) {
	batch = activeClaims(append(batch, c.retries...))
	c.retries = nil
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if c.confirmEarlier(ctx, batch) {
		return
	}
	applyPrefetched := func(eelgrassbeam.Object, bool) {}
	if !c.rateLimited {
		applyPrefetched = c.view.prefetch(ctx)
	}
	object, err := c.write(ctx, batch)
	applyPrefetched(object, err == nil)
	if err == nil {
		c.rewriteLost(ctx)
		err = c.syncView(ctx, object)
	}
	c.deduplicator.observeCommit(len(batch), err)
	for _, p := range batch {
		c.complete(p, object, err)
	}
}

// syncView reads claims until the view includes everything up to the object's version.
func (c *committer) syncView(ctx context.Context, object eelgrassbeam.Object) error {
	if c.deduplicator.skipClaimCheck {
		return nil
	}
	c.view.expire(c.deduplicator.claimRetention())
	err := c.view.catchUp(ctx, object)
	c.observe(c.view.revision)
	return err
}

func (c *committer) complete(p pendingClaim, object eelgrassbeam.Object, err error) {
	isEarlier := err == nil && p.hasEarlier && p.earlierEra == object.Version.Era()
	if err == nil && !isEarlier {
		err = c.view.check(p.claim, object.Version)
	}
	retryable := errors.Is(err, ErrUnclaimed)
	switch {
	case retryable && (p.running || c.deduplicator.config.Clock.Now().Before(p.retryUntil)):
		c.retries = append(c.retries, p)
	case !p.running:
		p.result <- claimResult{era: object.Version.Era(), isEarlier: isEarlier, err: err}
	case err != nil:
		c.deduplicator.config.Log.WithFields(logrus.Fields{
			"event": "key_ran_twice", "bucket": c.bucket, "key_hash": p.claim.Key, "error": err,
		}).Error("")
	default:
		c.deduplicator.table.setClaim(p.key, p.queuedAt, object.Version.Era())
	}
}

// activeClaims returns the claims of running requests and those whose callers are still waiting.
func activeClaims(batch []pendingClaim) []pendingClaim {
	var kept []pendingClaim
	for _, p := range batch {
		if p.running || p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// write stores the claims in an expired object of this home, or in a new one.
func (c *committer) write(ctx context.Context, batch []pendingClaim) (eelgrassbeam.Object, error) {
	value, err := c.encode(batch)
	if err != nil {
		return eelgrassbeam.Object{}, err
	}
	object, err := c.writeObject(ctx, value)
	if err != nil {
		return eelgrassbeam.Object{}, fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	c.observe(object.Version)
	object.Value = nil
	c.ownObjects = append(c.ownObjects, ownObject{object: object, writtenAt: c.deduplicator.config.Clock.Now()})
	return object, nil
}

func (c *committer) encode(batch []pendingClaim) ([]byte, error) {
	c.sequence++
	claims := Claims{
		Home: c.deduplicator.config.Self.ID, Incarnation: c.deduplicator.config.Incarnation, Bucket: c.bucket, Sequence: c.sequence,
	}
	for _, p := range batch {
		claims.Claims = append(claims.Claims, p.claim)
	}
	value, err := json.Marshal(claims.WithChecksum())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	return value, nil
}

func (c *committer) writeObject(ctx context.Context, value []byte) (eelgrassbeam.Object, error) {
	store := c.deduplicator.config.Store
	if reused, ok := c.popReusable(); ok {
		reused.Value = value
		object, err := store.Update(ctx, reused)
		if err == nil {
			return object, nil
		}
		if !errors.Is(err, eelgrassbeam.ErrNotFound) && !errors.Is(err, eelgrassbeam.ErrConflict) {
			return c.readBack(ctx, reused.Name, value, err)
		}
	}
	name := fmt.Sprintf("%s.%x.%x", c.deduplicator.config.Self.ID, c.deduplicator.config.Incarnation, c.sequence)
	object, err := store.Create(ctx, c.view.kind, name, value)
	if err != nil {
		return c.readBack(ctx, name, value, err)
	}
	return object, nil
}

// readBack reads the object to find out whether a write whose response was lost took effect; if not, it returns cause.
func (c *committer) readBack(ctx context.Context, name string, value []byte, cause error) (eelgrassbeam.Object, error) {
	object, err := c.deduplicator.config.Store.Get(ctx, c.view.kind, name)
	if err != nil || !bytes.Equal(object.Value, value) {
		return eelgrassbeam.Object{}, cause
	}
	return object, nil
}

func (c *committer) popReusable() (eelgrassbeam.Object, bool) {
	if len(c.ownObjects) == 0 || c.deduplicator.config.Clock.Now().Sub(c.ownObjects[0].writtenAt) <= c.deduplicator.claimRetention() {
		return eelgrassbeam.Object{}, false
	}
	oldest := c.ownObjects[0].object
	c.ownObjects = c.ownObjects[1:]
	return oldest, true
}

// sweep expires claims, retries pending ones and otherwise deletes at most one expired object, within the write limit.
func (c *committer) sweep(ctx context.Context) {
	c.view.expire(c.deduplicator.claimRetention())
	c.checkEra(ctx)
	now := c.deduplicator.config.Clock.Now()
	switch {
	case len(c.retries) > 0:
		c.commit(ctx, nil)
		return
	case len(c.lost) > 0:
		if c.limiter.TokensAt(now) >= 1 {
			c.rewriteLost(ctx)
		}
		return
	}
	for _, found := range c.view.objects {
		// The additional maxRunTime leaves time for the home that wrote an expired object to reuse it.
		if now.Sub(found.observedAt) <= c.deduplicator.claimRetention()+maxRunTime {
			continue
		}
		if c.limiter.AllowN(now, 1) {
			c.delete(ctx, found.object)
		}
		return
	}
}

func (c *committer) delete(ctx context.Context, object eelgrassbeam.Object) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := c.deduplicator.config.Store.Delete(ctx, object.Kind, object.Name, object.Version)
	if err == nil || errors.Is(err, eelgrassbeam.ErrNotFound) || errors.Is(err, eelgrassbeam.ErrConflict) {
		c.view.remove(object.Name)
		c.ownObjects = slices.DeleteFunc(c.ownObjects, func(o ownObject) bool { return o.object.Version == object.Version })
		c.deduplicator.metrics.deletes.Inc()
	}
}
