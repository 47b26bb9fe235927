package gossiper

import (
	"context"
	"net/netip"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// Watches tells whether this entry is one of those of its zone that watch the store: the first by ID among those that stay and
// that the store answers. In a small zone all watch.
func (g *Gossiper) Watches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, now := 0, g.config.Clock.Now()
	for id, r := range g.records {
		member := r.member
		if id < g.config.Self.ID && member.Entry.Zone == g.config.Self.Zone && member.HasStore &&
			member.Entry.State == eelgrassbeam.InstanceLive && !r.failed && now.Sub(r.heard) < silence {
			before++
		}
	}
	return before < watchersPerZone
}

// Announce passes a change of the replica on to the entries of this zone that don't watch the store.
func (g *Gossiper) Announce() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Gossiper) push(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.changed:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.config.Clock.After(pushDelay):
		}
		if g.Watches() {
			g.pushTo(ctx, g.behindWatchers())
		}
	}
}

// pushTarget is a member of this zone that lacks what this entry knows.
type pushTarget struct {
	id      eelgrassbeam.EntryID
	address netip.AddrPort
	holds   Revisions
}

func (g *Gossiper) pushTo(ctx context.Context, targets []pushTarget) {
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			g.pushOne(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

// behindWatchers returns the members of this zone that lack what this entry holds; none where all of them watch.
func (g *Gossiper) behindWatchers() []pushTarget {
	zone := g.zoneMembers()
	if len(zone) <= watchersPerZone {
		return nil
	}
	return g.behind(zone)
}

func (g *Gossiper) zoneMembers() []Member {
	var zone []Member
	for _, m := range g.Members() {
		if m.Entry.Zone == g.config.Self.Zone {
			zone = append(zone, m)
		}
	}
	return zone
}

// behind returns those of the members that lack what this entry holds.
func (g *Gossiper) behind(members []Member) []pushTarget {
	own := g.config.Replica.Revisions()
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []pushTarget
	for _, m := range members {
		if r := g.records[m.Entry.ID]; r != nil && !r.revisions.covers(own) {
			targets = append(targets, pushTarget{id: m.Entry.ID, address: m.Entry.PeerAddress, holds: r.revisions})
		}
	}
	return targets
}

func (g *Gossiper) pushOne(ctx context.Context, target pushTarget) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(target.address)
	if err != nil {
		return
	}
	state := g.config.Replica.State(target.holds)
	holds, err := peer.Call[Revisions](ctx, conn, Service, methodPush, &state)
	if err != nil {
		// The member pulls what it lacks with its next round.
		g.config.Log.WithFields(logrus.Fields{"event": "push_failed", "peer": target.id, "error": err}).Info("")
		return
	}
	g.noteRevisions(target.id, *holds)
}

func (g *Gossiper) pushed(_ context.Context, state *State) (*Revisions, error) {
	g.config.Replica.Merge(*state)
	holds := g.config.Replica.Revisions()
	return &holds, nil
}

// noteRevisions notes what a member holds.
func (g *Gossiper) noteRevisions(id eelgrassbeam.EntryID, holds Revisions) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[id]; r != nil {
		r.revisions = holds
	}
}
