package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// Service is the name of the gossip gRPC service. Its number rises when entries of earlier versions would misread the
	// messages.
	Service = "eelgrassbeam.gossiper.v2"

	methodExchange = "Exchange"
	methodPull     = "Pull"
	methodPush     = "Push"

	// maxMembers bounds each list of members in one message.
	maxMembers = 10000
)

// heartbeat is a member's heartbeat counter with its status.
type heartbeat struct {
	_                struct{} `cbor:",toarray"`
	ID               eelgrassbeam.EntryID
	Incarnation      uint64
	Count            uint64
	IsReady          bool
	IsStoreReachable bool
	IsLeaving        bool
}

// digest is one side's message of an exchange.
type digest struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	// Heartbeats covers all members that the sender considers live; it is empty in the second message of an exchange.
	Heartbeats []heartbeat
	// Members are full records of members that the receiver doesn't know or knows only from an earlier incarnation.
	Members []Member
	// Wanted are the IDs of members whose records the sender requests.
	Wanted    []eelgrassbeam.EntryID
	Revisions Revisions
}

// Validate checks the sizes of the digest and the members' addresses. Its errors wrap eelgrassbeam.ErrInvalid.
func (d digest) Validate() error {
	if len(d.Members) > maxMembers || len(d.Heartbeats) > maxMembers || len(d.Wanted) > maxMembers {
		return fmt.Errorf("%w: digest has too many members (%d), heartbeats or wanted IDs", eelgrassbeam.ErrInvalid, len(d.Members))
	}
	for _, m := range d.Members {
		if m.Entry.ID == "" || !m.Entry.PeerAddress.IsValid() {
			return fmt.Errorf("%w: member %q: want an ID and a valid peer address", eelgrassbeam.ErrInvalid, m.Entry.ID)
		}
	}
	return nil
}

type serviceHandler interface {
	handleExchange(ctx context.Context, remote *digest) (*digest, error)
	handlePull(ctx context.Context, since *Revisions) (*State, error)
	handlePush(ctx context.Context, state *State) (*Revisions, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*serviceHandler)(nil),
	Methods: []grpc.MethodDesc{
		peer.UnaryMethod(Service, methodExchange, serviceHandler.handleExchange),
		peer.UnaryMethod(Service, methodPull, serviceHandler.handlePull),
		peer.UnaryMethod(Service, methodPush, serviceHandler.handlePush),
	},
}

func (g *Gossiper) handleExchange(_ context.Context, remote *digest) (*digest, error) {
	if err := remote.Validate(); err != nil {
		return nil, err
	}
	wanted := g.merge(remote)
	g.recordRevisions(remote.From, remote.Revisions)
	g.requestPull(g.peerAddress(remote.From), remote.Revisions)
	// The second message of an exchange only delivers the members that this entry requested.
	if len(remote.Heartbeats) == 0 {
		return &digest{From: g.config.Self.ID, Revisions: g.config.Replica.Revisions()}, nil
	}
	response := g.digest()
	response.Wanted = wanted
	response.Members = g.unknownTo(remote)
	return response, nil
}

func (g *Gossiper) handlePull(_ context.Context, since *Revisions) (*State, error) {
	state := g.config.Replica.State(*since)
	return &state, nil
}

// digest returns a digest with the heartbeats of the live members including this entry.
func (g *Gossiper) digest() *digest {
	d := &digest{From: g.config.Self.ID, Revisions: g.config.Replica.Revisions()}
	for _, m := range g.Members() {
		d.Heartbeats = append(d.Heartbeats, m.heartbeat())
	}
	return d
}

// unknownTo returns the live members that are missing from the peer's digest or older in it.
func (g *Gossiper) unknownTo(remote *digest) []Member {
	listed := make(map[eelgrassbeam.EntryID]uint64, len(remote.Heartbeats))
	for _, hb := range remote.Heartbeats {
		listed[hb.ID] = hb.Incarnation
	}
	var unknown []Member
	for _, m := range g.Members() {
		if listed[m.Entry.ID] < m.Incarnation {
			unknown = append(unknown, m)
		}
	}
	return unknown
}

// members returns the live members with the given IDs.
func (g *Gossiper) members(ids []eelgrassbeam.EntryID) []Member {
	var found []Member
	for _, m := range g.Members() {
		if slices.Contains(ids, m.Entry.ID) {
			found = append(found, m)
		}
	}
	return found
}

// peerAddress returns the peer address of the member, or an invalid address if it is unknown.
func (g *Gossiper) peerAddress(id eelgrassbeam.EntryID) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[id]; r != nil {
		return r.member.Entry.PeerAddress
	}
	return netip.AddrPort{}
}

// merge applies a peer's members and heartbeats and returns the IDs of the members that are unknown here or known only
// from an earlier incarnation.
func (g *Gossiper) merge(remote *digest) []eelgrassbeam.EntryID {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	for _, m := range remote.Members {
		known := g.records[m.Entry.ID]
		if m.Entry.ID != g.config.Self.ID && (known == nil || m.Incarnation > known.member.Incarnation) {
			g.records[m.Entry.ID] = &record{member: m, lastHeard: now}
		}
	}
	var unknown []eelgrassbeam.EntryID
	for _, hb := range remote.Heartbeats {
		if hb.ID == g.config.Self.ID {
			// The incarnation is wall-clock time, which may have gone back since an earlier start.
			if hb.Incarnation > g.self.Incarnation {
				g.self.Incarnation = hb.Incarnation + 1
			}
			continue
		}
		known := g.records[hb.ID]
		switch {
		case known == nil || hb.Incarnation > known.member.Incarnation:
			unknown = append(unknown, hb.ID)
		case hb.Incarnation == known.member.Incarnation && hb.Count > known.member.Count:
			known.member, known.lastHeard = known.member.withHeartbeat(hb), now
		}
	}
	return unknown
}

// refreshSelf must be called with g.mu held.
func (g *Gossiper) refreshSelf() {
	g.self.IsReady, g.self.IsStoreReachable = g.config.IsReady(), g.config.IsStoreReachable()
}
