package gossiper

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// pullTarget is a peer whose state is more recent than this entry's, and the revisions of that state.
type pullTarget struct {
	address   netip.AddrPort
	revisions Revisions
}

// requestPull queues a pull of the peer's state if it is more recent than this entry's. The request is dropped while
// the queue is full, since the next exchange repeats it.
func (g *Gossiper) requestPull(address netip.AddrPort, revisions Revisions) {
	if !address.IsValid() || g.config.Replica.Revisions().covers(revisions) {
		return
	}
	select {
	case g.pullTargets <- pullTarget{address: address, revisions: revisions}:
	default:
	}
}

// pulls are the pulls in progress. They are used by one goroutine only.
type pulls struct {
	group   errgroup.Group
	done    chan struct{}
	count   int
	started time.Time
	// next is the most recent target that arrived while no further pull could start.
	next *pullTarget
}

// mayStart reports whether another pull may start: none is in progress, or one that takes long.
func (p *pulls) mayStart(now time.Time) bool {
	return p.count == 0 || p.count < maxPulls && now.Sub(p.started) >= hedgeDelay
}

// catchUp pulls more recent state from peers: the routing, or all state if this entry has none, at once; other state
// after pullDelay unless it has arrived by then. State pulled from another zone is pushed to the entries of this zone,
// because the zone's watchers have evidently not received it.
func (g *Gossiper) catchUp(ctx context.Context) error {
	var pending pullTarget
	var timer <-chan time.Time
	inProgress := &pulls{done: make(chan struct{}, maxPulls)}
	for {
		select {
		case <-ctx.Done():
			return inProgress.group.Wait()
		case <-inProgress.done:
			inProgress.count--
			if next := inProgress.next; next != nil {
				inProgress.next = nil
				g.startPull(ctx, inProgress, *next)
			}
		case target := <-g.pullTargets:
			local := g.config.Replica.Revisions()
			if target.revisions.RoutingVersion > local.RoutingVersion || local.Upstreams == 0 {
				g.startPull(ctx, inProgress, target)
			} else if timer == nil {
				pending, timer = target, g.config.Clock.After(pullDelay)
			}
		case <-timer:
			timer = nil
			g.startPull(ctx, inProgress, pending)
		}
	}
}

// startPull starts a pull of the target's state if this entry lacks it. If too many pulls are in progress, it does so when
// one of them has ended.
func (g *Gossiper) startPull(ctx context.Context, inProgress *pulls, target pullTarget) {
	local, now := g.config.Replica.Revisions(), g.config.Clock.Now()
	if local.covers(target.revisions) {
		return
	}
	if !inProgress.mayStart(now) {
		if next := inProgress.next; next == nil || !next.revisions.covers(target.revisions) {
			inProgress.next = &target
		}
		return
	}
	inProgress.count++
	inProgress.started = now
	address := g.pullAddress(target, local)
	inProgress.group.Go(func() error {
		g.pull(ctx, address)
		inProgress.done <- struct{}{}
		return nil
	})
}

// pullAddress returns the address from which to pull the target's state. An entry that has no state yet prefers a random
// ready member of its zone: after a restart of many entries, the few seeds could not send the full state to all of them.
func (g *Gossiper) pullAddress(target pullTarget, local Revisions) netip.AddrPort {
	if local.Upstreams > 0 {
		return target.address
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var ready []netip.AddrPort
	for _, r := range g.records {
		if !r.failed && r.member.IsReady && r.member.Entry.Zone == g.config.Self.Zone {
			ready = append(ready, r.member.Entry.PeerAddress)
		}
	}
	return append(randomOf(ready), target.address)[0]
}

// pull fetches the state that the peer has and this entry lacks. A small call shows first whether the peer responds, since
// the transfer itself may take long.
func (g *Gossiper) pull(ctx context.Context, address netip.AddrPort) {
	conn, err := g.config.Pool.Conn(address)
	if err != nil {
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	before, started := g.config.Replica.Revisions(), g.config.Clock.Now()
	state, err := g.transfer(ctx, conn, before)
	if err != nil {
		g.recordTransfer(operationPull, started, 0, err)
		if errors.Is(err, context.DeadlineExceeded) {
			g.config.Pool.Evict(address, conn)
		}
		g.config.Log.WithFields(logrus.Fields{"event": "pull_failed", "address": address, "error": err}).Warn("")
		return
	}
	g.recordTransfer(operationPull, started, len(state.Routing), nil)
	g.config.Replica.Merge(*state)
	before.ConfirmedAge = 0
	after := g.config.Replica.Revisions()
	if after.ConfirmedAge = 0; after != before {
		g.config.Log.WithFields(logrus.Fields{
			"event": "pulled", "address": address, "upstreams_revision": after.Upstreams, "routing_version": after.RoutingVersion,
			"evacuated_revision": after.Evacuated, "upstreams_revision_before": before.Upstreams,
		}).Info("")
		if !g.isInZone(address) {
			g.pushTo(ctx, g.lagging(g.zoneMembers()))
		}
	}
}

// transfer returns the peer's state after the given revisions. Its error wraps context.DeadlineExceeded if the peer didn't
// respond within callTimeout, or the state didn't arrive within pullTimeout.
func (g *Gossiper) transfer(ctx context.Context, conn *grpc.ClientConn, since Revisions) (*State, error) {
	probeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := peer.Call[digest](probeCtx, conn, Service, methodExchange, &digest{From: g.config.Self.ID, Revisions: since}); err != nil {
		return nil, errors.Join(err, probeCtx.Err())
	}
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	state, err := peer.Call[State](pullCtx, conn, Service, methodPull, &since, peer.Compressed())
	if err != nil {
		return nil, errors.Join(err, pullCtx.Err())
	}
	return state, nil
}
