package gossiper

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// lag records a peer whose state is more recent than this entry's.
type lag struct {
	address   netip.AddrPort
	revisions Revisions
}

// reportLag queues a pull of the peer's state if it is more recent than this entry's. A report is dropped while the
// queue is full, since the next exchange repeats it.
func (g *Gossiper) reportLag(address netip.AddrPort, revisions Revisions) {
	if !address.IsValid() || g.config.Replica.Revisions().covers(revisions) {
		return
	}
	select {
	case g.lags <- lag{address: address, revisions: revisions}:
	default:
	}
}

// catchUp pulls more recent state from peers: a configuration at once, other state after pullDelay unless it has
// arrived by then. Pulled state is pushed to the entries of this zone, because the zone's watchers lack it as well.
func (g *Gossiper) catchUp(ctx context.Context) error {
	var pending lag
	var timer <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-g.lags:
			if l.revisions.Routing > g.config.Replica.Revisions().Routing {
				g.pull(ctx, l.address)
			} else if timer == nil {
				pending, timer = l, g.config.Clock.After(pullDelay)
			}
		case <-timer:
			timer = nil
			if !g.config.Replica.Revisions().covers(pending.revisions) {
				g.pull(ctx, pending.address)
			}
		}
	}
}

func (g *Gossiper) pull(ctx context.Context, address netip.AddrPort) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(address)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	before := g.config.Replica.Revisions()
	state, err := peer.Call[State](limit, conn, Service, methodPull, &before)
	if err != nil {
		if limit.Err() != nil {
			g.config.Pool.Evict(address, conn)
		}
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	g.config.Replica.Merge(*state)
	if after := g.config.Replica.Revisions(); after != before {
		g.config.Log.WithFields(logrus.Fields{
			"event": "pulled", "address": address, "upstreams_revision": after.Upstreams, "routing_revision": after.Routing,
			"evacuated_revision": after.Evacuated, "upstreams_revision_before": before.Upstreams,
		}).Info("")
		g.pushTo(ctx, g.lagging(g.zoneMembers()))
	}
}
