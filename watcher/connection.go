package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// checkInterval is the time between checks of the connections to the store, checkTimeout that within which the store has
	// to answer. Together they are below the time by which a change has to take effect.
	checkInterval = 1200 * time.Millisecond
	checkTimeout  = 700 * time.Millisecond
)

// errSilent is the cause of the end of a watch whose connection may have gone silent.
var errSilent = errors.New("the store doesn't answer on an open connection")

// checkConnections asks the store for an answer at short intervals while this entry watches it. A watch without changes looks
// the same as one whose connection has gone silent; without the check that lasts until the watch times out. After the first
// missing answer the watches start again, on other connections.
func (w *Watcher) checkConnections(ctx context.Context) error {
	isAnswered := true
	for {
		w.sleep(ctx, checkInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !w.isWatching() {
			continue
		}
		wasAnswered := isAnswered
		if isAnswered = w.check(ctx); isAnswered || !wasAnswered {
			continue
		}
		w.config.Log.WithFields(logrus.Fields{"event": "store_silent"}).Warn("")
		w.restartWatches()
	}
}

// check reports whether the store answers in time, whatever it says.
func (w *Watcher) check(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_ = w.config.CheckConnection(ctx) // an error in time is an answer, too
	return !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// beginWatch returns the context of a watch, which restartWatches ends.
func (w *Watcher) beginWatch(ctx context.Context, f *follower) (watching context.Context, end func()) {
	watching, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watches[f] = cancel
	return watching, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watches, f)
		cancel(nil)
	}
}

func (w *Watcher) isWatching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watches) > 0
}

func (w *Watcher) restartWatches() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.watches {
		cancel(errSilent)
	}
}
