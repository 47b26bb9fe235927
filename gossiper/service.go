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
	// Service is the gRPC service name of the gossiper.
	Service = "eelgrassbeam.gossiper"

	methodExchange = "Exchange"
	methodPull     = "Pull"
	methodPush     = "Push"

	// maxMembers bounds the members of one message.
	maxMembers = 10000
)

// beat is a member's latest sign of life.
type beat struct {
	_           struct{} `cbor:",toarray"`
	ID          eelgrassbeam.EntryID
	Incarnation uint64
	Count       uint64
	IsReady     bool
	HasStore    bool
	IsLeaving   bool
}

// digest is what one side of an exchange knows.
type digest struct {
	_    struct{} `cbor:",toarray"`
	From eelgrassbeam.EntryID
	// Beats are of all members that the sender takes for live.
	Beats []beat
	// Members are those that the receiver doesn't know.
	Members []Member
	// Wanted are those that the sender doesn't know.
	Wanted    []eelgrassbeam.EntryID
	Revisions Revisions
}

// Validate checks what the receiver relies on.
func (d digest) Validate() error {
	if len(d.Members) > maxMembers || len(d.Beats) > maxMembers || len(d.Wanted) > maxMembers {
		return fmt.Errorf("%w: digest of %d members", eelgrassbeam.ErrInvalid, len(d.Members))
	}
	for _, m := range d.Members {
		if m.Entry.ID == "" || !m.Entry.PeerAddress.IsValid() {
			return fmt.Errorf("%w: member %q has no peer address", eelgrassbeam.ErrInvalid, m.Entry.ID)
		}
	}
	return nil
}

type server interface {
	exchanged(ctx context.Context, theirs *digest) (*digest, error)
	pulled(ctx context.Context, than *Revisions) (*State, error)
	pushed(ctx context.Context, state *State) (*Revisions, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods: []grpc.MethodDesc{
		peer.Unary(Service, methodExchange, server.exchanged),
		peer.Unary(Service, methodPull, server.pulled),
		peer.Unary(Service, methodPush, server.pushed),
	},
}

func (g *Gossiper) exchanged(_ context.Context, theirs *digest) (*digest, error) {
	if err := theirs.Validate(); err != nil {
		return nil, err
	}
	wanted := g.merge(theirs)
	g.noteRevisions(theirs.From, theirs.Revisions)
	g.noteLag(g.peerAddress(theirs.From), theirs.Revisions)
	if len(theirs.Beats) == 0 {
		return &digest{From: g.config.Self.ID, Revisions: g.config.Replica.Revisions()}, nil
	}
	answer := g.digest()
	answer.Wanted = wanted
	answer.Members = g.unknownTo(theirs)
	return answer, nil
}

func (g *Gossiper) pulled(_ context.Context, than *Revisions) (*State, error) {
	state := g.config.Replica.State(*than)
	return &state, nil
}

// digest returns the signs of life of this entry and of the members that it takes for live.
func (g *Gossiper) digest() *digest {
	d := &digest{From: g.config.Self.ID, Revisions: g.config.Replica.Revisions()}
	for _, m := range g.Members() {
		d.Beats = append(d.Beats, m.beat())
	}
	return d
}

// unknownTo returns the members that the peer doesn't list.
func (g *Gossiper) unknownTo(theirs *digest) []Member {
	listed := make(map[eelgrassbeam.EntryID]uint64, len(theirs.Beats))
	for _, b := range theirs.Beats {
		listed[b.ID] = b.Incarnation
	}
	var unknown []Member
	for _, m := range g.Members() {
		if listed[m.Entry.ID] < m.Incarnation {
			unknown = append(unknown, m)
		}
	}
	return unknown
}

// members returns the live members of the given IDs.
func (g *Gossiper) members(ids []eelgrassbeam.EntryID) []Member {
	var found []Member
	for _, m := range g.Members() {
		if slices.Contains(ids, m.Entry.ID) {
			found = append(found, m)
		}
	}
	return found
}

// peerAddress returns where the member is reached by peers; an invalid address for one that isn't known yet.
func (g *Gossiper) peerAddress(id eelgrassbeam.EntryID) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[id]; r != nil {
		return r.member.Entry.PeerAddress
	}
	return netip.AddrPort{}
}

// merge takes over each member's latest sign of life and returns the members that aren't known here.
func (g *Gossiper) merge(theirs *digest) []eelgrassbeam.EntryID {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	for _, m := range theirs.Members {
		known := g.records[m.Entry.ID]
		if m.Entry.ID != g.config.Self.ID && (known == nil || m.Incarnation > known.member.Incarnation) {
			g.records[m.Entry.ID] = &record{member: m, heard: now}
		}
	}
	var unknown []eelgrassbeam.EntryID
	for _, b := range theirs.Beats {
		if b.ID == g.config.Self.ID {
			// The wall clock may have gone back between two starts.
			if b.Incarnation > g.self.Incarnation {
				g.self.Incarnation = b.Incarnation + 1
			}
			continue
		}
		known := g.records[b.ID]
		switch {
		case known == nil || b.Incarnation > known.member.Incarnation:
			unknown = append(unknown, b.ID)
		case b.Incarnation == known.member.Incarnation && b.Count > known.member.Count:
			known.member, known.heard = known.member.withBeat(b), now
		}
	}
	return unknown
}

// refreshSelf needs g.mu.
func (g *Gossiper) refreshSelf() {
	g.self.IsReady, g.self.HasStore = g.config.IsReady(), g.config.HasStore()
}
