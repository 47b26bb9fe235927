package gossiper

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Guards against an entry that relies on watchers which are gone for longer than a change may take to be in force.
func TestWatchersThatRefusePings(t *testing.T) {
	is := is.New(t)
	third := newTestEntry(t, "e3", "z1", Revisions{})
	for _, id := range []eelgrassbeam.EntryID{"e1", "e2", "e4"} {
		other := newTestEntry(t, id, "z1", Revisions{})
		third.merge(&digest{From: id, Members: []Member{{Entry: other.config.Self, Incarnation: 1, IsStoreReachable: true}}})
	}
	is.True(!third.IsWatcher())
	is.Equal(len(third.watchersToPing()), watchersPerZone)
	third.pingAll(t.Context(), third.watchersToPing())
	is.True(!third.IsWatcher()) // both answer
	third.mu.Lock()
	silent := third.records["e1"].member
	third.mu.Unlock()
	late := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 0)
		defer cancel()
		return third.ping(ctx, silent)
	}
	third.recordPing(t.Context(), silent, late())
	is.True(!third.IsWatcher()) // its link may be slow
	third.recordPing(t.Context(), silent, status.Error(codes.Unavailable, "refused"))
	is.True(third.IsWatcher()) // though its heartbeat isn't missed yet
	third.recordPing(t.Context(), silent, late())
	is.True(third.IsWatcher())
	third.pingAll(t.Context(), third.watchersToPing())
	is.True(!third.IsWatcher()) // it answers again
}

func TestWatchersDoNotPing(t *testing.T) {
	second := newTestEntry(t, "e2", "z1", Revisions{})
	for _, id := range []eelgrassbeam.EntryID{"e1", "e3"} {
		second.merge(&digest{From: id, Members: []Member{{Entry: eelgrassbeam.Entry{ID: id, Zone: "z1", PeerAddress: second.config.Self.PeerAddress}, Incarnation: 1, IsStoreReachable: true}}})
	}
	is.New(t).Equal(len(second.watchersToPing()), 0)
}
