package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// round calls some peers at once.
func (g *Gossiper) round(ctx context.Context) {
	g.mu.Lock()
	g.self.Count++
	g.mu.Unlock()
	g.judge()
	g.call(ctx, g.targets())
}

func (g *Gossiper) call(ctx context.Context, addresses []netip.AddrPort) {
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			g.exchange(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

// all returns the addresses of the members that live.
func (g *Gossiper) all() []netip.AddrPort {
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

// silenceOf needs g.mu.
func (g *Gossiper) silenceOf(r *record) time.Duration {
	if len(g.records) >= smallFleet && r.member.Entry.Zone != g.config.Self.Zone {
		return farSilence
	}
	return silence
}

// targets returns a random member of this zone, in some rounds one of any zone, and then one of the entries that are failed or only
// known as seeds, so that split groups meet.
func (g *Gossiper) targets() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, live, lost []netip.AddrPort
	known := map[netip.AddrPort]bool{g.config.Self.PeerAddress: true}
	for _, r := range g.records {
		address := r.member.Entry.PeerAddress
		known[address] = true
		switch {
		case r.failed:
			lost = append(lost, address)
		case r.member.Entry.Zone == g.config.Self.Zone:
			near = append(near, address)
		}
		if !r.failed {
			live = append(live, address)
		}
	}
	for _, seed := range g.seeds {
		if !known[seed] {
			lost = append(lost, seed)
		}
	}
	if len(g.records) == 0 {
		return lost // a start asks all seeds, for their state too
	}
	chosen := anyOf(near)
	rounds := max(farRounds, uint64(len(g.records)/farMembers))
	if g.self.Count%rounds == 0 {
		chosen = append(chosen, anyOf(live)...)
		chosen = append(chosen, anyOf(lost)...)
	}
	return chosen
}

func anyOf(addresses []netip.AddrPort) []netip.AddrPort {
	if len(addresses) == 0 {
		return nil
	}
	return []netip.AddrPort{addresses[rand.IntN(len(addresses))]}
}

// exchange tells one peer what this entry knows and takes over what the peer knows.
func (g *Gossiper) exchange(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := g.config.Pool.Conn(address)
	if err != nil {
		return
	}
	answer, err := peer.Call[digest](ctx, conn, Service, methodExchange, g.digest())
	if err != nil {
		// A silent connection is given up; the member's silence is judged by its count.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			g.config.Pool.Evict(address, conn)
		}
		return
	}
	g.merge(answer)
	g.noteRevisions(answer.From, answer.Revisions)
	if len(answer.Wanted) > 0 {
		if _, err := peer.Call[digest](ctx, conn, Service, methodExchange, &digest{From: g.config.Self.ID, Members: g.members(answer.Wanted), Revisions: g.config.Replica.Revisions()}); err != nil {
			return
		}
	}
	g.noteLag(address, answer.Revisions)
}
