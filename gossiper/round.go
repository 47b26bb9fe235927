package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// round runs one gossip round: it detects failures and contacts some peers in parallel.
func (g *Gossiper) round(ctx context.Context) {
	g.mu.Lock()
	g.self.Count++
	g.mu.Unlock()
	g.detectFailures()
	g.exchangeAll(ctx, g.targets())
}

func (g *Gossiper) exchangeAll(ctx context.Context, addresses []netip.AddrPort) {
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			g.exchange(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

// liveAddresses returns the peer addresses of the members that haven't failed.
func (g *Gossiper) liveAddresses() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []netip.AddrPort
	for _, r := range g.records {
		if !r.failed {
			addresses = append(addresses, r.member.Entry.PeerAddress)
		}
	}
	return addresses
}

// failureTimeoutOf must be called with g.mu held.
func (g *Gossiper) failureTimeoutOf(r *record) time.Duration {
	if len(g.records) >= smallFleetSize && r.member.Entry.Zone != g.config.Self.Zone {
		return crossZoneFailureTimeout
	}
	return failureTimeout
}

// targets returns the address of a random member of this zone. In some rounds it adds a member of any zone and a
// failed member or unknown seed, so that partitioned groups merge again.
func (g *Gossiper) targets() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sameZone, live, unreachable []netip.AddrPort
	known := map[netip.AddrPort]bool{g.config.Self.PeerAddress: true}
	for _, r := range g.records {
		address := r.member.Entry.PeerAddress
		known[address] = true
		switch {
		case r.failed:
			unreachable = append(unreachable, address)
		case r.member.Entry.Zone == g.config.Self.Zone:
			sameZone = append(sameZone, address)
		}
		if !r.failed {
			live = append(live, address)
		}
	}
	for _, seed := range g.seeds {
		if !known[seed] {
			unreachable = append(unreachable, seed)
		}
	}
	if len(g.records) == 0 {
		return unreachable // at start, contact all seeds, which also provide their state
	}
	targets := randomOf(sameZone)
	period := max(minCrossZonePeriod, uint64(len(g.records)/membersPerCrossZoneRound))
	if g.self.Count%period == 0 {
		targets = append(targets, randomOf(live)...)
		targets = append(targets, randomOf(unreachable)...)
	}
	return targets
}

func randomOf(addresses []netip.AddrPort) []netip.AddrPort {
	if len(addresses) == 0 {
		return nil
	}
	return []netip.AddrPort{addresses[rand.IntN(len(addresses))]}
}

// isInZone reports whether the address is that of a member of this zone.
func (g *Gossiper) isInZone(address netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.records {
		if r.member.Entry.PeerAddress == address {
			return r.member.Entry.Zone == g.config.Self.Zone
		}
	}
	return false
}

// exchange exchanges digests with one peer and merges the response. Between zones the messages are compressed.
func (g *Gossiper) exchange(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(address)
	if err != nil {
		return
	}
	var options []grpc.CallOption
	if !g.isInZone(address) {
		options = append(options, peer.Compressed())
	}
	response, err := peer.Call[digest](ctx, conn, Service, methodExchange, g.digest(), options...)
	if err != nil {
		// The connection may be half-open. Whether the member has failed is decided by its heartbeats alone.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			g.config.Pool.Evict(address, conn)
		}
		return
	}
	g.merge(response)
	g.recordRevisions(response.From, response.Revisions)
	if len(response.Wanted) > 0 {
		if _, err := peer.Call[digest](ctx, conn, Service, methodExchange, &digest{From: g.config.Self.ID, Members: g.members(response.Wanted), Revisions: g.config.Replica.Revisions()}); err != nil {
			return
		}
	}
	g.requestPull(address, response.Revisions)
}
