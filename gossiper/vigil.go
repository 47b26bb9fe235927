package gossiper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// vigilInterval is the time between pings of the zone's watchers by an entry that relies on them. It leaves most of the
	// time within which a change has to take effect for watching the store itself.
	vigilInterval = 600 * time.Millisecond
	vigilTimeout  = 400 * time.Millisecond
)

// pingWatchers pings the watchers of this zone while this entry isn't one of them. A lost heartbeat shows a lost watcher only
// after failureTimeout, which is longer than a change may take to be in force; a refused connection shows at once that its
// process is gone.
func (g *Gossiper) pingWatchers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.config.Clock.After(vigilInterval):
		}
		g.pingAll(ctx, g.watchersToPing())
	}
}

// watchersToPing returns the members before this entry that watch the store or would if they took connections; none if this
// entry watches whatever they do.
func (g *Gossiper) watchersToPing() []Member {
	var found []Member
	for _, m := range g.zoneMembers() { // sorted by ID
		if m.Entry.ID >= g.config.Self.ID {
			return nil
		}
		if m.Entry.State != eelgrassbeam.InstanceLive || !m.IsStoreReachable {
			continue
		}
		if found = append(found, m); len(found) == watchersPerZone {
			return found
		}
	}
	return nil
}

func (g *Gossiper) pingAll(ctx context.Context, members []Member) {
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			g.recordPing(ctx, m, g.ping(ctx, m))
			return nil
		})
	}
	_ = group.Wait()
}

func (g *Gossiper) ping(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, vigilTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(m.Entry.PeerAddress)
	if err != nil {
		return err
	}
	return peer.SendPing(ctx, conn)
}

// recordPing records whether the member refuses connections.
func (g *Gossiper) recordPing(ctx context.Context, m Member, err error) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[m.Entry.ID]
	if r == nil {
		return
	}
	// An answer that is late or a connection that this entry closes tells nothing: it may be behind a large transfer on a slow
	// link, and an entry that took over then would load the link even more.
	if err != nil && status.Code(err) != codes.Unavailable || r.refusesPings == (err != nil) {
		return
	}
	r.refusesPings = err != nil
	g.config.Log.WithFields(logrus.Fields{"event": "watcher_ping", "peer": m.Entry.ID, "is_refused": r.refusesPings, "error": err}).Info("")
}
