package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const testTimeout = 10 * time.Second

// scriptedStore answers lists and watches by script; other calls are not made.
type scriptedStore struct {
	eelgrassbeam.Store
	list  func(call int) (eelgrassbeam.ObjectList, error)
	watch func(call int, after uint64) (eelgrassbeam.ObjectEvents, error)
	lists atomic.Int32
	// watches counts the watches.
	watches atomic.Int32
}

func (s *scriptedStore) List(context.Context, string) (eelgrassbeam.ObjectList, error) {
	return s.list(int(s.lists.Add(1)))
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (eelgrassbeam.ObjectEvents, error) {
	call := int(s.watches.Add(1))
	if events, err := s.watch(call, after); err != nil || len(events.Events) > 0 {
		return events, err
	}
	<-ctx.Done() // nothing changes any more
	return eelgrassbeam.ObjectEvents{}, ctx.Err()
}

// journal is a sink and observer that notes what it is told.
type journal struct {
	held  atomic.Uint64
	mu    sync.Mutex
	lines []string
	told  chan struct{}
}

func newJournal() *journal { return &journal{told: make(chan struct{}, 100)} }

func (j *journal) note(line string) {
	j.mu.Lock()
	j.lines = append(j.lines, line)
	j.mu.Unlock()
	j.told <- struct{}{}
}

func (*journal) Kind() string             { return "k" }
func (*journal) JoinPause() time.Duration { return 10 * time.Millisecond }
func (j *journal) Revision() uint64       { return j.held.Load() }
func (j *journal) Replace(list eelgrassbeam.ObjectList) {
	j.held.Store(list.Revision)
	j.note(fmt.Sprint("list ", list.Revision))
}

func (j *journal) Apply(e eelgrassbeam.ObjectEvents) {
	j.held.Store(e.Revision)
	j.note(fmt.Sprint("events ", e.Revision))
}
func (*journal) RecordResponse()  {}
func (j *journal) RecordFailure() { j.note("failure") }

// requireStory runs a follower until the sink has been told so many things, and compares them.
func requireStory(t *testing.T, store *scriptedStore, isActive func() bool, want ...string) {
	t.Helper()
	requireStoryOf(t, newJournal(), Config{Store: store, IsActive: isActive}, want...)
}

func requireStoryOf(t *testing.T, j *journal, config Config, want ...string) {
	t.Helper()
	is := is.New(t)
	config.Log, _ = logrustest.NewNullLogger()
	config.Clock, config.Observer, config.Sinks = clockwork.NewRealClock(), j, []Sink{j}
	f := New(config)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return f.Run(ctx) })
	for range want {
		select {
		case <-j.told:
		case <-time.After(testTimeout):
			t.Error("the sink was not told in time")
		}
	}
	cancel()
	is.NoErr(group.Wait())
	j.mu.Lock()
	defer j.mu.Unlock()
	is.Equal(j.lines[:min(len(want), len(j.lines))], want)
}

func always() bool { return true }

func listAt(revisions ...uint64) func(int) (eelgrassbeam.ObjectList, error) {
	return func(call int) (eelgrassbeam.ObjectList, error) {
		return eelgrassbeam.ObjectList{Revision: revisions[min(call, len(revisions))-1]}, nil
	}
}

func eventAt(revision uint64) (eelgrassbeam.ObjectEvents, error) {
	return eelgrassbeam.ObjectEvents{Revision: revision, Events: make([]eelgrassbeam.ObjectEvent, 1)}, nil
}

func TestFollow(t *testing.T) {
	t.Run("events follow the list", func(t *testing.T) {
		store := &scriptedStore{list: listAt(5), watch: func(call int, after uint64) (eelgrassbeam.ObjectEvents, error) {
			if call == 1 && after == 5 {
				return eventAt(7)
			}
			return eelgrassbeam.ObjectEvents{}, nil
		}}
		requireStory(t, store, always, "list 5", "events 7")
	})
	t.Run("a history that is gone is listed anew", func(t *testing.T) {
		store := &scriptedStore{list: listAt(5, 9), watch: func(call int, _ uint64) (eelgrassbeam.ObjectEvents, error) {
			if call == 1 {
				return eelgrassbeam.ObjectEvents{}, eelgrassbeam.ErrCompacted
			}
			return eelgrassbeam.ObjectEvents{}, nil
		}}
		requireStory(t, store, always, "list 5", "list 9")
	})
	t.Run("a watch without an answer goes on from where it was", func(t *testing.T) {
		store := &scriptedStore{list: listAt(5), watch: func(call int, after uint64) (eelgrassbeam.ObjectEvents, error) {
			switch {
			case call == 1:
				return eelgrassbeam.ObjectEvents{}, eelgrassbeam.ErrUnavailable
			case call == 2 && after == 5:
				return eventAt(8)
			default:
				return eelgrassbeam.ObjectEvents{}, nil
			}
		}}
		requireStory(t, store, always, "list 5", "failure", "events 8")
	})
	t.Run("a store that is down is asked again", func(t *testing.T) {
		store := &scriptedStore{
			list: func(call int) (eelgrassbeam.ObjectList, error) {
				if call < 3 {
					return eelgrassbeam.ObjectList{}, eelgrassbeam.ErrUnavailable
				}
				return eelgrassbeam.ObjectList{Revision: 4}, nil
			},
			watch: func(int, uint64) (eelgrassbeam.ObjectEvents, error) { return eelgrassbeam.ObjectEvents{}, nil },
		}
		requireStory(t, store, always, "failure", "failure", "list 4")
	})
	quiet := func(int, uint64) (eelgrassbeam.ObjectEvents, error) { return eelgrassbeam.ObjectEvents{}, nil }
	t.Run("an entry that begins to watch goes on from what it holds", func(t *testing.T) {
		var asked atomic.Int32
		store := &scriptedStore{list: listAt(5), watch: func(call int, after uint64) (eelgrassbeam.ObjectEvents, error) {
			if call == 1 && after == 5 {
				return eventAt(7)
			}
			return quiet(call, after)
		}}
		requireStory(t, store, func() bool { return asked.Add(1) > 3 }, "list 5", "events 7")
		is.New(t).Equal(store.lists.Load(), int32(1))
	})
	t.Run("what peers tell in time makes the list needless", func(t *testing.T) {
		store := &scriptedStore{list: listAt(5), watch: func(call int, after uint64) (eelgrassbeam.ObjectEvents, error) {
			if call == 1 && after == 9 {
				return eventAt(11)
			}
			return quiet(call, after)
		}}
		j := newJournal()
		j.held.Store(9)
		requireStoryOf(t, j, Config{Store: store, IsActive: always, PeerWait: testTimeout}, "events 11")
		is.New(t).Equal(store.lists.Load(), int32(0))
	})
	t.Run("an entry that peers tell nothing lists after its wait", func(t *testing.T) {
		never := func() bool { return false }
		config := Config{Store: &scriptedStore{list: listAt(5), watch: quiet}, IsActive: never, PeerWait: time.Millisecond, PassiveWait: 100 * time.Millisecond}
		began := time.Now()
		requireStoryOf(t, newJournal(), config, "list 5")
		is.New(t).True(time.Since(began) >= config.PassiveWait)
	})
}
