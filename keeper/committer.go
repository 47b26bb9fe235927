package keeper

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

// pending is a claim that waits for a commit.
type pending struct {
	ctx     context.Context
	claim   Claim
	verdict chan error // takes one value
	// until is when a claim that can't be made is given up; a claim that ran is never given up.
	until time.Time
	// ran says that the request already runs; the claim is written for later homes.
	ran bool
}

// slot is an object of this home's own whose claims will expire.
type slot struct {
	object eelgrassbeam.Object
	at     time.Time
}

// committer writes one bucket's claims, those that arrive together as one object.
type committer struct {
	keeper    *Keeper
	bucket    int
	in        chan pending
	limiter   *rate.Limiter // of writes
	view      *view
	slots     []slot // in order of time
	sequence  uint64
	saturated bool      // the last commit waited for the write rate
	again     []pending // claims that could not be made yet
}

func (c *committer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.in:
			c.commit(ctx, c.gather(ctx, first))
		case <-c.keeper.config.Clock.After(c.pause()):
			c.sweep(ctx)
		}
		c.keeper.noteHome(c.bucket)
	}
}

// pause is the time to the next sweep, short where claims wait to be made.
func (c *committer) pause() time.Duration {
	if len(c.again) > 0 {
		return claimPause
	}
	return sweepInterval
}

// gather waits for claims that arrive together and for the write rate.
func (c *committer) gather(ctx context.Context, first pending) []pending {
	batch := []pending{first}
	now := c.keeper.config.Clock.Now()
	turn := c.limiter.ReserveN(now, 1).DelayFrom(now)
	c.saturated = turn > 0
	wait := max(gatherTime, turn)
	full := c.keeper.config.Clock.After(wait)
	for len(batch) < maxBatch {
		select {
		case next := <-c.in:
			batch = append(batch, next)
		case <-full:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit writes the claims and tells each caller whether its key is its own.
func (c *committer) commit(ctx context.Context, batch []pending) {
	batch = waiting(append(batch, c.again...))
	c.again = nil
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	takeChanges := func(eelgrassbeam.Object, bool) {}
	if !c.saturated {
		takeChanges = c.view.ahead(ctx)
	}
	object, err := c.write(ctx, batch)
	takeChanges(object, err == nil)
	if err == nil {
		err = c.settle(ctx, object)
	}
	c.keeper.observeCommit(len(batch), err)
	for _, p := range batch {
		c.tell(p, object, err)
	}
}

// settle makes the view complete up to the object.
func (c *committer) settle(ctx context.Context, object eelgrassbeam.Object) error {
	if c.keeper.trustWrites {
		return nil
	}
	c.view.expire(c.keeper.keepTime())
	return c.view.catchUp(ctx, object)
}

func (c *committer) tell(p pending, object eelgrassbeam.Object, err error) {
	if err == nil {
		err = c.view.check(p.claim, object.Version)
	}
	retryable := errors.Is(err, ErrUnclaimed)
	switch {
	case retryable && (p.ran || c.keeper.config.Clock.Now().Before(p.until)):
		c.again = append(c.again, p)
	case !p.ran:
		p.verdict <- err
	case err != nil:
		c.keeper.config.Log.WithFields(logrus.Fields{
			"event": "key_ran_twice", "bucket": c.bucket, "key_hash": p.claim.Key, "error": err,
		}).Error("")
	}
}

// waiting returns the claims whose callers still wait.
func waiting(batch []pending) []pending {
	var kept []pending
	for _, p := range batch {
		if p.ran || p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// write stores the claims in an expired object of its own or in a new one.
func (c *committer) write(ctx context.Context, batch []pending) (eelgrassbeam.Object, error) {
	value, err := c.encode(batch)
	if err != nil {
		return eelgrassbeam.Object{}, err
	}
	object, err := c.store(ctx, value)
	if err != nil {
		return eelgrassbeam.Object{}, fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	object.Value = nil
	c.slots = append(c.slots, slot{object: object, at: c.keeper.config.Clock.Now()})
	return object, nil
}

func (c *committer) encode(batch []pending) ([]byte, error) {
	c.sequence++
	claims := Claims{
		Home: c.keeper.config.Self.ID, Incarnation: c.keeper.config.Incarnation, Bucket: c.bucket, Sequence: c.sequence,
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

func (c *committer) store(ctx context.Context, value []byte) (eelgrassbeam.Object, error) {
	store := c.keeper.config.Store
	if reused, ok := c.takeExpired(); ok {
		reused.Value = value
		object, err := store.Update(ctx, reused)
		if err == nil {
			return object, nil
		}
		if !errors.Is(err, eelgrassbeam.ErrNotFound) && !errors.Is(err, eelgrassbeam.ErrConflict) {
			return c.readBack(ctx, reused.Name, value, err)
		}
	}
	name := fmt.Sprintf("%s.%x.%x", c.keeper.config.Self.ID, c.keeper.config.Incarnation, c.sequence)
	object, err := store.Create(ctx, c.view.kind, name, value)
	if err != nil {
		return c.readBack(ctx, name, value, err)
	}
	return object, nil
}

// readBack finds out whether a write whose answer was lost took effect.
func (c *committer) readBack(ctx context.Context, name string, value []byte, cause error) (eelgrassbeam.Object, error) {
	object, err := c.keeper.config.Store.Get(ctx, c.view.kind, name)
	if err != nil || !bytes.Equal(object.Value, value) {
		return eelgrassbeam.Object{}, cause
	}
	return object, nil
}

func (c *committer) takeExpired() (eelgrassbeam.Object, bool) {
	if len(c.slots) == 0 || c.keeper.config.Clock.Now().Sub(c.slots[0].at) <= c.keeper.keepTime() {
		return eelgrassbeam.Object{}, false
	}
	taken := c.slots[0].object
	c.slots = c.slots[1:]
	return taken, true
}

// sweep expires claims, makes those that wait and removes at most one object that nobody uses.
func (c *committer) sweep(ctx context.Context) {
	c.view.expire(c.keeper.keepTime())
	if len(c.again) > 0 {
		c.commit(ctx, nil)
		return
	}
	now := c.keeper.config.Clock.Now()
	for _, found := range c.view.objects {
		if now.Sub(found.observed) <= c.keeper.keepTime()+runMargin {
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
	err := c.keeper.config.Store.Delete(ctx, object.Kind, object.Name, object.Version)
	if err == nil || errors.Is(err, eelgrassbeam.ErrNotFound) || errors.Is(err, eelgrassbeam.ErrConflict) {
		c.view.remove(object.Name)
		c.slots = slices.DeleteFunc(c.slots, func(own slot) bool { return own.object.Version == object.Version })
		c.keeper.metrics.deletes.Inc()
	}
}
