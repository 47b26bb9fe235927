package monitor

import (
	"context"
	"net/netip"

	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	methodHeartbeat = "Heartbeat"
	methodVote      = "Vote"
	methodProbe     = "Probe"
	methodPull      = "Pull"
)

// handler handles the calls of the monitor's gRPC service.
type handler interface {
	handleHeartbeat(ctx context.Context, message *heartbeat) (*ack, error)
	handleVote(ctx context.Context, message *vote) (*voteReply, error)
	handleProbe(ctx context.Context, message *probe) (*probeReply, error)
	handlePull(ctx context.Context, message *Digest) (*pullReply, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*handler)(nil),
	Methods: []grpc.MethodDesc{
		peer.UnaryMethod(Service, methodHeartbeat, handler.handleHeartbeat),
		peer.UnaryMethod(Service, methodVote, handler.handleVote),
		peer.UnaryMethod(Service, methodProbe, handler.handleProbe),
		peer.UnaryMethod(Service, methodPull, handler.handlePull),
	},
}

// pullReply contains the changes that a peer lacks according to its digest.
type pullReply struct {
	Roster *eelgrassbeam.InstanceList `json:"roster,omitempty"`
	// Deltas replace Roster if the changes since the peer's roster are still available.
	Deltas []RosterDelta `json:"deltas,omitempty"`
	States []EntryState  `json:"states,omitempty"`
}

func (m *Monitor) handleHeartbeat(_ context.Context, message *heartbeat) (*ack, error) {
	if err := message.Validate(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := m.table.heartbeat(*message, m.config.Clock.Now())
	return &reply, nil
}

func (m *Monitor) handleVote(_ context.Context, message *vote) (*voteReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if now.Sub(m.lastTick) > stallIntervals*m.config.Interval {
		return &voteReply{}, nil
	}
	return &voteReply{Granted: m.grantVote(message.Subject, message.Incarnation, now)}, nil
}

func (m *Monitor) handleProbe(context.Context, *probe) (*probeReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &probeReply{ID: m.config.Self.ID, Incarnation: m.term.current.incarnation}, nil
}

func (m *Monitor) handlePull(_ context.Context, remote *Digest) (*pullReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	local := m.view.digest()
	reply := &pullReply{}
	if local.Roster != remote.Roster && local.Revision >= remote.Revision && m.view.hasRoster {
		reply.Deltas = m.view.deltasFrom(remote.Roster)
		if reply.Deltas == nil {
			list := m.view.roster.list()
			reply.Roster = &list
		}
	}
	if local.States != remote.States || local.Roster != remote.Roster {
		reply.States = m.view.listedStates()
	}
	return reply, nil
}

// Digest returns the digest of this entry's view, for comparison with a peer's.
func (m *Monitor) Digest() Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.digest()
}

// Pull merges the changes of the peer's view that this entry lacks (anti-entropy).
func (m *Monitor) Pull(ctx context.Context, address netip.AddrPort) error {
	conn, err := m.config.Pool.Conn(address)
	if err != nil {
		return peerError(address, err)
	}
	digest := m.Digest()
	reply, err := peer.Call[pullReply](ctx, conn, Service, methodPull, &digest)
	if err != nil {
		return peerError(address, err)
	}
	m.mergePull(*reply)
	return nil
}

// mergePull merges the changes that a peer has sent in reply to a pull.
func (m *Monitor) mergePull(reply pullReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isChanged := false
	if next, ok := m.pulledRoster(reply); ok {
		isChanged = m.view.replaceRoster(next)
	}
	fresh := m.view.merge(reply.States, m.config.Clock.Now())
	m.logStates(fresh, "pulled")
	if isChanged || len(fresh) > 0 {
		m.scheduleRebuild()
	}
}

// pulledRoster returns the roster of the reply. The rosters between its deltas may be older than the known one. The
// caller holds the mutex.
func (m *Monitor) pulledRoster(reply pullReply) (*Roster, bool) {
	if reply.Roster != nil {
		return newRoster(*reply.Roster), true
	}
	next := m.view.roster
	for _, delta := range reply.Deltas {
		var err error
		if next, err = next.apply(delta); err != nil {
			return nil, false
		}
	}
	return next, len(reply.Deltas) > 0
}

// ChangesReady returns a channel that signals that TakeChanges has changes to gossip.
func (m *Monitor) ChangesReady() <-chan struct{} { return m.changesReady }

// TakeChanges returns and clears the changes that this entry has detected since the last call.
func (m *Monitor) TakeChanges() MembershipChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = MembershipChanges{}
	return taken
}

// Merge merges changes gossiped by a peer and returns those that were new here. It returns ErrDeltaMismatch if the
// roster delta does not apply; the caller should then pull from the sender.
func (m *Monitor) Merge(changes MembershipChanges) (fresh MembershipChanges, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if changes.Roster != nil && changes.Roster.Digest != m.view.roster.Digest && changes.Roster.Revision >= m.view.roster.Revision {
		var next *Roster
		next, err = m.view.roster.apply(*changes.Roster)
		if err == nil && m.view.replaceRoster(next) {
			fresh.Roster = changes.Roster
		}
	}
	fresh.States = m.view.merge(changes.States, m.config.Clock.Now())
	m.logStates(fresh.States, "spread")
	if !fresh.IsEmpty() {
		m.scheduleRebuild()
	}
	return fresh, err
}
