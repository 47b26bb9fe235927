package deduplicator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// watchTimeout limits the duration of a watch call, so that time is left to fall back to a full list.
	watchTimeout    = time.Second
	watchBackoff    = 10 * time.Second
	prefetchBackoff = 10 * time.Second
	// prefetchTimeout limits the watch for the object that this home is writing, prefetchGrace the part of it after the
	// write.
	prefetchTimeout = 500 * time.Millisecond
	prefetchGrace   = 10 * time.Millisecond
)

// claimObject is one object of claims as last read from the platform.
type claimObject struct {
	object     eelgrassbeam.Object // without its value
	home       eelgrassbeam.EntryID
	claims     []Claim // without expired ones; empty for claims of this incarnation
	expired    bool
	observedAt time.Time
}

// foreignClaim is a claim of another home or of another incarnation of this one.
type foreignClaim struct {
	source      *claimObject
	fingerprint uint64
}

// claimView holds the claims of one bucket up to a platform revision. It is not safe for concurrent use.
type claimView struct {
	store       eelgrassbeam.Store
	clock       eelgrassbeam.Clock
	kind        string
	home        eelgrassbeam.EntryID
	incarnation uint64

	// watchDisabledUntil suspends incremental reads after a watch failed or did not return the object that this home
	// wrote.
	watchDisabledUntil time.Time
	// prefetchDisabledUntil suspends prefetching while other homes write to the same bucket.
	prefetchDisabledUntil time.Time
	complete              bool
	revision              eelgrassbeam.Revision
	objects               map[string]*claimObject
	// lost holds the objects that were read in an earlier era of the store, until they expire.
	lost        []*claimObject
	undecodable map[*claimObject]bool
	claims      map[uint64][]foreignClaim
}

// catchUp reads changes, or the full list if that fails, until the view contains the given object of this home, and
// thus all earlier claims.
func (v *claimView) catchUp(ctx context.Context, own eelgrassbeam.Object) error {
	if v.contains(own) {
		return nil
	}
	if v.complete && v.clock.Now().After(v.watchDisabledUntil) {
		if err := v.readChanges(ctx); err == nil && v.contains(own) {
			return nil
		}
		v.watchDisabledUntil = v.clock.Now().Add(watchBackoff)
	}
	if err := v.readAll(ctx); err != nil {
		return err
	}
	if !v.contains(own) {
		return fmt.Errorf("%w: claim object %s of this home is missing from the list", ErrUnclaimed, own.Name)
	}
	return nil
}

// prefetch watches for the next change while this home's object is being written. The returned function applies that
// change after the write, which saves a round trip to the platform if the change is that object.
func (v *claimView) prefetch(ctx context.Context) func(own eelgrassbeam.Object, written bool) {
	if now := v.clock.Now(); !v.complete || now.Before(v.watchDisabledUntil) || now.Before(v.prefetchDisabledUntil) {
		return func(eelgrassbeam.Object, bool) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var events eelgrassbeam.ObjectEvents
	var group errgroup.Group
	done := make(chan struct{})
	after := v.revision
	group.Go(func() (err error) {
		defer close(done)
		events, err = v.store.Watch(ctx, v.kind, after, prefetchTimeout)
		return err
	})
	return func(own eelgrassbeam.Object, written bool) {
		if written {
			select {
			case <-done:
			case <-v.clock.After(prefetchGrace):
			}
		}
		cancel()
		if group.Wait() == nil {
			v.apply(events)
		}
		if written && !v.contains(own) {
			v.prefetchDisabledUntil = v.clock.Now().Add(prefetchBackoff)
		}
	}
}

func (v *claimView) contains(own eelgrassbeam.Object) bool {
	found, ok := v.objects[own.Name]
	return ok && found.object.Version == own.Version
}

// readChanges applies the changes since the view's revision. It has a short timeout because a watch may never respond.
func (v *claimView) readChanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, err := v.store.Watch(ctx, v.kind, v.revision, 0)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	v.apply(events)
	return nil
}

// apply adds changes that follow the view's revision.
func (v *claimView) apply(events eelgrassbeam.ObjectEvents) {
	for _, event := range events.Events {
		if event.IsUnreadable {
			continue // the known claim still counts
		}
		v.remove(event.Object.Name)
		if !event.Deleted {
			v.add(event.Object)
		}
	}
	v.revision = max(v.revision, events.Revision)
}

func (v *claimView) readAll(ctx context.Context) error {
	list, err := v.store.List(ctx, v.kind)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	listed := make(map[string]bool, len(list.Objects))
	for _, object := range list.Objects {
		listed[object.Name] = true
		if found, ok := v.objects[object.Name]; ok && found.object.Version == object.Version {
			continue
		}
		v.replaceOrLose(object.Name, list.Revision)
		v.add(object)
	}
	for name := range v.objects {
		if !listed[name] {
			v.replaceOrLose(name, list.Revision)
		}
	}
	v.complete, v.revision = true, list.Revision
	return nil
}

func (v *claimView) add(object eelgrassbeam.Object) {
	var decoded Claims
	added := &claimObject{observedAt: v.clock.Now()}
	if err := json.Unmarshal(object.Value, &decoded); err != nil {
		v.undecodable[added] = true
	}
	object.Value = nil
	added.object = object
	v.objects[object.Name] = added
	if decoded.Home == v.home && decoded.Incarnation == v.incarnation {
		return
	}
	added.home, added.claims = decoded.Home, decoded.Claims
	for _, claim := range decoded.Claims {
		v.claims[claim.Key] = append(v.claims[claim.Key], foreignClaim{source: added, fingerprint: claim.Fingerprint})
	}
}

func (v *claimView) remove(name string) {
	if found, ok := v.objects[name]; ok {
		v.removeAll(found)
		delete(v.objects, name)
	}
}

// replaceOrLose removes an object that a list lacks or has with another version. If the list is of a later era, the
// store may have lost the object in a restoration, although requests have run under its claims; they still count.
func (v *claimView) replaceOrLose(name string, listed eelgrassbeam.Revision) {
	found, ok := v.objects[name]
	if !ok || found.expired || found.object.Version.Era() >= listed.Era() {
		v.remove(name)
		return
	}
	delete(v.objects, name)
	v.lost = append(v.lost, found)
}

// removeAll removes the object's claims, and its bar on other keys if it is undecodable.
func (v *claimView) removeAll(found *claimObject) {
	v.removeClaims(found, len(found.claims))
	delete(v.undecodable, found)
}

// removeClaims removes the first n claims of the object.
func (v *claimView) removeClaims(found *claimObject, n int) {
	for _, claim := range found.claims[:n] {
		kept := v.claims[claim.Key][:0]
		for _, other := range v.claims[claim.Key] {
			if other.source != found {
				kept = append(kept, other)
			}
		}
		v.claims[claim.Key] = kept
		if len(kept) == 0 {
			delete(v.claims, claim.Key)
		}
	}
	found.claims = found.claims[n:]
}

// expire drops claims that were first observed longer ago than keep, less the age that they then had.
func (v *claimView) expire(keep time.Duration) {
	now := v.clock.Now()
	for _, found := range v.objects {
		if !found.expired {
			found.expired = v.expireObject(found, now, keep)
		}
	}
	v.lost = slices.DeleteFunc(v.lost, func(found *claimObject) bool { return v.expireObject(found, now, keep) })
}

// expireObject drops the object's expired claims, which come first, and reports whether the object is expired.
func (v *claimView) expireObject(found *claimObject, now time.Time, keep time.Duration) bool {
	observedFor := now.Sub(found.observedAt)
	if observedFor > keep {
		v.removeAll(found)
		return true
	}
	expired := 0
	for expired < len(found.claims) && observedFor+found.claims[expired].Age.Duration > keep {
		expired++
	}
	v.removeClaims(found, expired)
	return false
}

// check returns an error if another home claimed the key before the version. A claim for the same request takes
// precedence over one for a different request.
func (v *claimView) check(claim Claim, version eelgrassbeam.Revision) error {
	var reused error
	for _, other := range v.claims[claim.Key] {
		switch {
		case other.source.object.Version >= version:
		case other.fingerprint == claim.Fingerprint:
			return &ClaimedError{Home: other.source.home}
		default:
			reused = ErrReused
		}
	}
	for found := range v.undecodable {
		if found.object.Version < version {
			return &ClaimedError{}
		}
	}
	return reused
}
