// Package follower keeps a view in step with the platform's store: it starts from what peers hold, or else a list, and then watches.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minWatchWait and maxWatchWait bound how long one watch waits. Entries draw it at random: each call has its price, and of a
	// silent watch the peer whose own ends next tells the others.
	minWatchWait = 3 * time.Second
	maxWatchWait = 9 * time.Second
	// minPause and maxPause bound the time between failed calls.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// idlePause is the time between looks whether this entry has to watch.
	idlePause = 400 * time.Millisecond
	// peerPause is the time between looks whether peers have told their state.
	peerPause = 20 * time.Millisecond
)

// Sink takes over what the store holds of one kind.
type Sink interface {
	// Kind names the objects.
	Kind() string
	// Revision is how far what is held has come, zero while nothing is held. Peers may have told it.
	Revision() uint64
	// JoinPause is the time between an event and the next watch, so that events that come close together share a call.
	JoinPause() time.Duration
	// Replace takes over a whole list.
	Replace(list eelgrassbeam.ObjectList)
	// Apply takes over changes, in their order.
	Apply(events eelgrassbeam.ObjectEvents)
}

// Observer learns whether the store answers.
type Observer interface {
	RecordResponse()
	RecordFailure()
}

// Config configures a Follower.
type Config struct {
	Store    eelgrassbeam.Store
	Clock    eelgrassbeam.Clock
	Log      logrus.FieldLogger
	Observer Observer
	Sinks    []Sink
	// IsActive tells whether this entry watches the store; others learn of changes from peers.
	IsActive func() bool
	// PeerWait is how long a start waits for what peers hold before it lists, PassiveWait the same for an entry that doesn't watch.
	PeerWait, PassiveWait time.Duration
}

// Follower follows the kinds of its sinks.
type Follower struct{ config Config }

// New returns a Follower.
func New(config Config) *Follower { return &Follower{config: config} }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, sink := range f.config.Sinks {
		group.Go(func() error { return f.follow(ctx, sink) })
	}
	return group.Wait()
}

// follow keeps up with one kind. A compacted history leads to a list, never to an earlier state.
func (f *Follower) follow(ctx context.Context, sink Sink) error {
	f.awaitPeers(ctx, sink)
	var after uint64
	pause, isCompacted := minPause, false
	for ctx.Err() == nil {
		if held := sink.Revision(); held > 0 && !f.config.IsActive() {
			isCompacted = false
			f.pause(ctx, idlePause)
			continue
		} else if held > after && !isCompacted {
			after = held
		}
		var err error
		if after == 0 || isCompacted {
			after, err = f.list(ctx, sink)
		} else {
			after, err = f.watch(ctx, sink, after)
		}
		if err == nil {
			f.config.Observer.RecordResponse()
			pause, isCompacted = minPause, false
			continue
		}
		if errors.Is(err, eelgrassbeam.ErrCompacted) {
			f.config.Log.WithFields(logrus.Fields{"event": "history_compacted", "kind": sink.Kind(), "after": after}).Info("")
			f.config.Observer.RecordResponse()
			isCompacted = true
			continue
		}
		f.config.Observer.RecordFailure()
		f.pause(ctx, pause)
		pause = min(2*pause, maxPause)
	}
	return nil
}

// awaitPeers gives peers a while to tell what they hold, which costs the platform no call.
func (f *Follower) awaitPeers(ctx context.Context, sink Sink) {
	begun := f.config.Clock.Now()
	for ctx.Err() == nil && sink.Revision() == 0 {
		wait := f.config.PeerWait
		if !f.config.IsActive() {
			wait = max(wait, f.config.PassiveWait)
		}
		if f.config.Clock.Now().Sub(begun) >= wait {
			return
		}
		select {
		case <-ctx.Done():
		case <-f.config.Clock.After(peerPause):
		}
	}
}

func (f *Follower) list(ctx context.Context, sink Sink) (uint64, error) {
	list, err := f.config.Store.List(ctx, sink.Kind())
	if err != nil {
		return 0, err
	}
	sink.Replace(list)
	return list.Revision, nil
}

func (f *Follower) watch(ctx context.Context, sink Sink, after uint64) (uint64, error) {
	events, err := f.config.Store.Watch(ctx, sink.Kind(), after, minWatchWait+rand.N(maxWatchWait-minWatchWait))
	if err != nil {
		return after, err
	}
	if len(events.Events) > 0 {
		sink.Apply(events)
		f.pause(ctx, sink.JoinPause())
	}
	return max(after, events.Revision), nil
}

// pause waits between half and all of the duration, so that entries don't call in step.
func (f *Follower) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.config.Clock.After(pause/2 + rand.N(pause/2+1)):
	}
}
