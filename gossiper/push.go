package gossiper

import (
	"context"
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// IsWatcher reports whether this entry watches the store: fewer than watchersPerZone other members of its zone that are
// live, don't refuse pings, reach the store and aren't leaving precede it by ID. Its own state is not taken into account.
func (g *Gossiper) IsWatcher() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, now := 0, g.config.Clock.Now()
	for id, r := range g.records {
		member := r.member
		if id < g.config.Self.ID && member.Entry.Zone == g.config.Self.Zone && member.IsStoreReachable &&
			member.Entry.State == eelgrassbeam.InstanceLive && !r.refusesPings && !r.failed && now.Sub(r.lastHeard) < failureTimeout {
			before++
		}
	}
	return before < watchersPerZone
}

// ZoneReachesStore reports whether, as far as this entry knows, the store responds to one of the first watchersPerZone
// members of its zone, which watch the store at any time.
func (g *Gossiper) ZoneReachesStore() bool {
	watchers := slices.DeleteFunc(g.zoneMembers(), func(m Member) bool { return m.Entry.State != eelgrassbeam.InstanceLive })
	watchers = watchers[:min(watchersPerZone, len(watchers))] // they are sorted by ID
	return slices.ContainsFunc(watchers, func(m Member) bool { return m.IsStoreReachable })
}

// NotifyChange triggers a push of the replica's changes to the entries of this zone that don't watch the store.
func (g *Gossiper) NotifyChange() {
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
		if g.IsWatcher() {
			g.pushTo(ctx, g.laggingZoneMembers())
		}
	}
}

// pushTarget is a member of this zone whose state is older than this entry's.
type pushTarget struct {
	id        eelgrassbeam.EntryID
	address   netip.AddrPort
	revisions Revisions
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

// laggingZoneMembers returns the members of this zone with older state than this entry's; none if all of them are
// watchers.
func (g *Gossiper) laggingZoneMembers() []pushTarget {
	zone := g.zoneMembers()
	if len(zone) <= watchersPerZone {
		return nil
	}
	return g.lagging(zone)
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

// lagging returns those of the members whose state is older than this entry's.
func (g *Gossiper) lagging(members []Member) []pushTarget {
	local := g.config.Replica.Revisions()
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []pushTarget
	for _, m := range members {
		if r := g.records[m.Entry.ID]; r != nil && !r.revisions.covers(local) {
			targets = append(targets, pushTarget{id: m.Entry.ID, address: m.Entry.PeerAddress, revisions: r.revisions})
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
	state := g.config.Replica.State(target.revisions).withoutLargeRouting(g.config.Self.ID)
	var options []grpc.CallOption
	if len(state.Upstreams) >= minCompressedUpstreams {
		options = append(options, peer.Compressed())
	}
	started := g.config.Clock.Now()
	revisions, err := peer.Call[Revisions](ctx, conn, Service, methodPush, &state, options...)
	g.recordTransfer(operationPush, started, len(state.Routing), err)
	if err != nil {
		// The member detects its lag and pulls the state after its next exchange.
		g.config.Log.WithFields(logrus.Fields{"event": "push_failed", "peer": target.id, "routing_bytes": len(state.Routing), "error": err}).Info("")
		return
	}
	g.recordRevisions(target.id, *revisions)
}

func (g *Gossiper) handlePush(_ context.Context, state *State) (*Revisions, error) {
	g.config.Replica.Merge(*state)
	if state.Announced != nil {
		g.requestPull(g.peerAddress(state.From), *state.Announced)
	}
	revisions := g.config.Replica.Revisions()
	return &revisions, nil
}

// recordRevisions records the revisions of a member's state.
func (g *Gossiper) recordRevisions(id eelgrassbeam.EntryID, revisions Revisions) {
	if revisions.ConfirmedAge > 0 {
		g.config.Replica.ConfirmRouting(revisions.RoutingVersion, revisions.ConfirmedAge)
	}
	revisions.ConfirmedAge = 0 // it grows old
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[id]; r != nil {
		r.revisions = revisions
	}
}
