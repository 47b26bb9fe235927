// Package watcher synchronizes a view with the platform's store. It starts from the state of peers, or from a list
// if no peer provides it, and then watches for changes.
package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minWatchWait and maxWatchWait bound the duration of one watch. Long watches save calls, which the platform
	// charges for. The duration is random, so that if one entry's watch stalls, another entry's watch ends soon after,
	// and that entry informs its peers.
	minWatchWait = 3 * time.Second
	maxWatchWait = 9 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// watcherPollInterval is the time between checks whether an entry that doesn't watch the store has become a
	// watcher.
	watcherPollInterval = 400 * time.Millisecond
	// peerPollInterval is the time between checks for state from peers.
	peerPollInterval = 20 * time.Millisecond
)

// Sink receives the store's objects of one kind.
type Sink interface {
	// Kind returns the kind of the objects.
	Kind() string
	// Revision returns the revision of the sink's state, which may come from peers; zero while there is none.
	Revision() eelgrassbeam.Revision
	// CoalesceDelay returns the delay between an event and the next watch, so that a burst of events takes one call.
	CoalesceDelay() time.Duration
	// Replace replaces the sink's state by a full list.
	Replace(list eelgrassbeam.ObjectList)
	// Apply applies changes in order.
	Apply(events eelgrassbeam.ObjectEvents)
}

// Observer is notified of the outcome of each call to the store, and repeatedly while none are made because this entry
// is not a watcher.
type Observer interface {
	RecordResponse()
	RecordFailure()
	RecordPause()
}

// Config configures a Watcher.
type Config struct {
	Store    eelgrassbeam.Store
	Clock    eelgrassbeam.Clock
	Log      logrus.FieldLogger
	Observer Observer
	Sinks    []Sink
	// IsWatcher reports whether this entry watches the store. Other entries receive changes from peers.
	IsWatcher func() bool
	// PeerWait is how long to wait at start for state from peers before listing the store. NonWatcherPeerWait is the
	// minimum of that wait for an entry that doesn't watch the store.
	PeerWait, NonWatcherPeerWait time.Duration
	// CheckConnection makes a cheap call to the store. Nil for no checks of the connections.
	CheckConnection func(ctx context.Context) error
}

// Watcher synchronizes its sinks with the store.
type Watcher struct {
	config Config

	mu sync.Mutex
	// watches ends the watches in progress.
	watches map[*follower]context.CancelCauseFunc
}

// New returns a Watcher.
func New(config Config) *Watcher {
	return &Watcher{config: config, watches: make(map[*follower]context.CancelCauseFunc)}
}

// Run synchronizes all sinks until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, sink := range w.config.Sinks {
		group.Go(func() error { return w.follow(ctx, sink) })
	}
	if w.config.CheckConnection != nil {
		group.Go(func() error { return w.checkConnections(ctx) })
	}
	return group.Wait()
}

// follow synchronizes one sink until ctx is done.
func (w *Watcher) follow(ctx context.Context, sink Sink) error {
	w.awaitPeers(ctx, sink)
	f := newFollower(w, sink)
	for ctx.Err() == nil {
		if sink.Revision() > 0 && !w.config.IsWatcher() {
			f.pause()
			w.sleep(ctx, watcherPollInterval)
			continue
		}
		f.step(ctx)
	}
	return nil
}

// awaitPeers waits a limited time for state from peers, which saves a call to the platform.
func (w *Watcher) awaitPeers(ctx context.Context, sink Sink) {
	started := w.config.Clock.Now()
	for ctx.Err() == nil && sink.Revision() == 0 {
		wait := w.config.PeerWait
		if !w.config.IsWatcher() {
			wait = max(wait, w.config.NonWatcherPeerWait)
		}
		if w.config.Clock.Now().Sub(started) >= wait {
			return
		}
		select {
		case <-ctx.Done():
		case <-w.config.Clock.After(peerPollInterval):
		}
	}
}

// sleep waits for a random time between half the duration and all of it, so that entries don't call in lockstep.
func (w *Watcher) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.config.Clock.After(duration/2 + rand.N(duration/2+1)):
	}
}
