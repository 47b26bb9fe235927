package gossiper

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// lag is what a peer held and this entry didn't.
type lag struct {
	address netip.AddrPort
	holds   Revisions
}

// noteLag has the peer's state fetched if it is later than this entry's. A lag that is noted while others wait is met again.
func (g *Gossiper) noteLag(address netip.AddrPort, holds Revisions) {
	if !address.IsValid() || g.config.Replica.Revisions().covers(holds) {
		return
	}
	select {
	case g.lags <- lag{address: address, holds: holds}:
	default:
	}
}

// catchUp fetches what peers hold and this entry lacks: the configuration at once, the rest unless the usual ways bring it soon. What
// was fetched goes to the entries of this zone, since their watchers lack it, too.
func (g *Gossiper) catchUp(ctx context.Context) error {
	var pending lag
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-g.lags:
			if l.holds.Routing > g.config.Replica.Revisions().Routing {
				g.fetch(ctx, l.address)
			} else if due == nil {
				pending, due = l, g.config.Clock.After(lagBeforePull)
			}
		case <-due:
			due = nil
			if !g.config.Replica.Revisions().covers(pending.holds) {
				g.fetch(ctx, pending.address)
			}
		}
	}
}

func (g *Gossiper) fetch(ctx context.Context, address netip.AddrPort) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(address)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	own := g.config.Replica.Revisions()
	state, err := peer.Call[State](limit, conn, Service, methodPull, &own)
	if err != nil {
		if limit.Err() != nil {
			g.config.Pool.Evict(address, conn)
		}
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	g.config.Replica.Merge(*state)
	if now := g.config.Replica.Revisions(); now != own {
		g.config.Log.WithFields(logrus.Fields{
			"event": "pulled", "address": address, "upstreams_revision": now.Upstreams, "routing_revision": now.Routing,
			"evacuated_revision": now.Evacuated, "upstreams_revision_before": own.Upstreams,
		}).Info("")
		g.pushTo(ctx, g.behind(g.zoneMembers()))
	}
}
