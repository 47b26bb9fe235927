package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// eventsTimeout bounds a read of changes, so that time is left to read all claims.
	eventsTimeout = time.Second
	distrustTime  = 10 * time.Second
	contendedTime = 10 * time.Second
	// aheadWait bounds the wait for the own object to show, aheadGrace what of it follows the write.
	aheadWait  = 500 * time.Millisecond
	aheadGrace = 10 * time.Millisecond
)

// seen is one object of claims as the platform showed it.
type seen struct {
	object   eelgrassbeam.Object // without its value
	home     eelgrassbeam.EntryID
	claims   []Claim // of other homes and other runs only
	expired  bool
	observed time.Time
}

// foreign is a claim of another home or another run of this one.
type foreign struct {
	from        *seen
	fingerprint uint64
}

// view is one bucket's claims up to a revision of the platform. One worker uses it.
type view struct {
	store       eelgrassbeam.Store
	clock       eelgrassbeam.Clock
	kind        string
	home        eelgrassbeam.EntryID
	incarnation uint64

	// distrusted is until when changes are not asked for, since the last answer was of no use.
	distrusted time.Time
	// contended is until when the next change is not asked for ahead, since other homes write, too.
	contended time.Time
	complete  bool
	revision  uint64
	objects   map[string]*seen
	opaque    map[string]*seen
	claims    map[uint64][]foreign
}

// catchUp reads until the own object shows; then all claims before it are known.
func (v *view) catchUp(ctx context.Context, own eelgrassbeam.Object) error {
	if v.shows(own) {
		return nil
	}
	if v.complete && v.clock.Now().After(v.distrusted) {
		if err := v.readEvents(ctx); err == nil && v.shows(own) {
			return nil
		}
		v.distrusted = v.clock.Now().Add(distrustTime)
	}
	if err := v.readAll(ctx); err != nil {
		return err
	}
	if !v.shows(own) {
		return fmt.Errorf("%w: own claim %s does not show", ErrUnclaimed, own.Name)
	}
	return nil
}

// ahead asks for the next change while the own object is being written. The
// returned function takes it in once the write has ended; it saves a round trip
// to the platform where the next change is the own object.
func (v *view) ahead(ctx context.Context) func(own eelgrassbeam.Object, written bool) {
	if now := v.clock.Now(); !v.complete || now.Before(v.distrusted) || now.Before(v.contended) {
		return func(eelgrassbeam.Object, bool) {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var events eelgrassbeam.ObjectEvents
	var group errgroup.Group
	done := make(chan struct{})
	after := v.revision
	group.Go(func() (err error) {
		defer close(done)
		events, err = v.store.Watch(ctx, v.kind, after, aheadWait)
		return err
	})
	return func(own eelgrassbeam.Object, written bool) {
		if written {
			select {
			case <-done:
			case <-v.clock.After(aheadGrace):
			}
		}
		cancel()
		if group.Wait() == nil {
			v.take(events)
		}
		if written && !v.shows(own) {
			v.contended = v.clock.Now().Add(contendedTime)
		}
	}
}

func (v *view) shows(own eelgrassbeam.Object) bool {
	found, ok := v.objects[own.Name]
	return ok && found.object.Version == own.Version
}

// readEvents reads what has changed; it gives up early, as a watch may be silent.
func (v *view) readEvents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	events, err := v.store.Watch(ctx, v.kind, v.revision, 0)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnclaimed, err)
	}
	v.take(events)
	return nil
}

// take adds the changes that follow the view's revision.
func (v *view) take(events eelgrassbeam.ObjectEvents) {
	for _, event := range events.Events {
		v.remove(event.Object.Name)
		if !event.Deleted {
			v.add(event.Object)
		}
	}
	v.revision = max(v.revision, events.Revision)
}

func (v *view) readAll(ctx context.Context) error {
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
		v.remove(object.Name)
		v.add(object)
	}
	for name := range v.objects {
		if !listed[name] {
			v.remove(name)
		}
	}
	v.complete, v.revision = true, list.Revision
	return nil
}

func (v *view) add(object eelgrassbeam.Object) {
	var decoded Claims
	added := &seen{observed: v.clock.Now()}
	if err := json.Unmarshal(object.Value, &decoded); err != nil {
		v.opaque[object.Name] = added
	}
	object.Value = nil
	added.object = object
	v.objects[object.Name] = added
	if decoded.Home == v.home && decoded.Incarnation == v.incarnation {
		return
	}
	added.home, added.claims = decoded.Home, decoded.Claims
	for _, claim := range decoded.Claims {
		v.claims[claim.Key] = append(v.claims[claim.Key], foreign{from: added, fingerprint: claim.Fingerprint})
	}
}

func (v *view) remove(name string) {
	if found, ok := v.objects[name]; ok {
		v.dropClaims(found)
		delete(v.objects, name)
		delete(v.opaque, name)
	}
}

func (v *view) dropClaims(found *seen) {
	for _, claim := range found.claims {
		kept := v.claims[claim.Key][:0]
		for _, other := range v.claims[claim.Key] {
			if other.from != found {
				kept = append(kept, other)
			}
		}
		v.claims[claim.Key] = kept
		if len(kept) == 0 {
			delete(v.claims, claim.Key)
		}
	}
	found.claims = nil
}

// expire drops claims that were first seen longer ago than the duration.
func (v *view) expire(keep time.Duration) {
	now := v.clock.Now()
	for _, found := range v.objects {
		if !found.expired && now.Sub(found.observed) > keep {
			v.dropClaims(found)
			found.expired = true
		}
	}
}

// check returns an error if another home claimed the key before the version. A
// claim for the same request counts more than one for another request.
func (v *view) check(claim Claim, version uint64) error {
	var reused error
	for _, other := range v.claims[claim.Key] {
		switch {
		case other.from.object.Version >= version:
		case other.fingerprint == claim.Fingerprint:
			return &ClaimedError{Home: other.from.home}
		default:
			reused = ErrReused
		}
	}
	for _, found := range v.opaque {
		if !found.expired && found.object.Version < version {
			return &ClaimedError{}
		}
	}
	return reused
}
