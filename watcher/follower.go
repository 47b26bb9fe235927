package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// follower synchronizes one sink with the store, call by call.
type follower struct {
	watcher *Watcher
	sink    Sink
	// after is the revision that the next watch starts from; zero if a list has to come first.
	after   eelgrassbeam.Revision
	backoff time.Duration
	// isCompacted is set while the store doesn't have the history after the revision, so that a list has to come first.
	isCompacted bool
	// hasListed reports whether the latest call was a list.
	hasListed bool
	// isProbe is set until a call succeeds. The store may have been restored and have reached the sink's revision again;
	// a watch would wait for later changes before its response shows the era.
	isProbe bool
}

func newFollower(w *Watcher, sink Sink) *follower {
	return &follower{watcher: w, sink: sink, backoff: minBackoff, isProbe: true}
}

// pause prepares for calls after a time in which the sink's state came from peers.
func (f *follower) pause() {
	f.isCompacted, f.isProbe = false, true
	f.watcher.config.Observer.RecordPause()
}

// step makes one call to the store. A failed one is followed by a delay.
func (f *follower) step(ctx context.Context) {
	if current := f.sink.Revision(); current > f.after && !f.isCompacted {
		f.after = current // peers may have advanced the sink beyond the last watch
	}
	wasListed := f.hasListed
	f.hasListed = f.after == 0 || f.isCompacted
	var err error
	if f.hasListed {
		f.after, err = f.list(ctx)
	} else {
		f.after, err = f.watch(ctx)
	}
	f.isProbe = err != nil
	observer := f.watcher.config.Observer
	switch {
	case err == nil:
		observer.RecordResponse()
		f.isCompacted = false
		if !f.hasListed {
			f.backoff = minBackoff
		}
	case errors.Is(err, eelgrassbeam.ErrCompacted):
		f.watcher.config.Log.WithFields(logrus.Fields{
			"event": "history_compacted", "kind": f.sink.Kind(), "after": f.after, "error": err,
		}).Info("")
		observer.RecordResponse()
		f.isCompacted = true
		if wasListed { // the list was of no use, so the next one may not be either
			f.delay(ctx)
		}
	case errors.Is(err, errSilent): // tells nothing of the store itself
	default:
		observer.RecordFailure()
		f.delay(ctx)
	}
}

func (f *follower) delay(ctx context.Context) {
	f.watcher.sleep(ctx, f.backoff)
	f.backoff = min(2*f.backoff, maxBackoff)
}

func (f *follower) list(ctx context.Context) (eelgrassbeam.Revision, error) {
	list, err := f.watcher.config.Store.List(ctx, f.sink.Kind())
	if err != nil {
		return 0, err
	}
	f.sink.Replace(list)
	return list.Revision, nil
}

func (f *follower) watch(ctx context.Context) (eelgrassbeam.Revision, error) {
	wait := minWatchWait + rand.N(maxWatchWait-minWatchWait)
	if f.isProbe {
		wait = 0
	}
	watching, end := f.watcher.beginWatch(ctx, f)
	defer end()
	events, err := f.watcher.config.Store.Watch(watching, f.sink.Kind(), f.after, wait)
	if err != nil && errors.Is(context.Cause(watching), errSilent) {
		return f.after, errSilent
	}
	if err != nil {
		return f.after, err
	}
	if len(events.Events) > 0 {
		f.sink.Apply(events)
		f.watcher.sleep(ctx, f.sink.CoalesceDelay())
	}
	return max(f.after, events.Revision), nil
}
