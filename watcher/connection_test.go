package watcher

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Guards against changes that an entry misses for seconds, because the connection of its watch has gone silent. The store
// itself isn't counted as away.
func TestWatchOnSilentConnection(t *testing.T) {
	var checks atomic.Int32
	isRestored := func() bool { return checks.Load() > 0 }
	store := &scriptedStore{list: listAt(5), watch: func(int, eelgrassbeam.Revision) (eelgrassbeam.ObjectEvents, error) {
		if isRestored() {
			return eventAt(6)
		}
		return eelgrassbeam.ObjectEvents{Revision: 5}, nil // and nothing more until the watch ends
	}}
	requireCallsWith(t, newRecordingSink(), Config{Store: store, IsWatcher: always, CheckConnection: func(ctx context.Context) error {
		if checks.Add(1) == 1 {
			<-ctx.Done()
		}
		return ctx.Err()
	}}, "list 5", "events 6")
}

func TestChecksThatAreAnsweredLeaveWatchesAlone(t *testing.T) {
	checks := make(chan struct{}, 100)
	store := &scriptedStore{list: listAt(5), watch: func(int, eelgrassbeam.Revision) (eelgrassbeam.ObjectEvents, error) {
		return eelgrassbeam.ObjectEvents{Revision: 5}, nil
	}}
	sink := newRecordingSink()
	requireCallsWith(t, sink, Config{Store: store, IsWatcher: always, CheckConnection: func(context.Context) error {
		checks <- struct{}{}
		if len(checks) == 2 {
			sink.record("second check")
		}
		return eelgrassbeam.ErrUnavailable
	}}, "list 5", "second check")
	is.New(t).Equal(store.watches.Load(), int32(1)) // it goes on
}
