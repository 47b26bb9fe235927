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

// server is what the service needs.
type server interface {
	heard(ctx context.Context, message *heartbeat) (*ack, error)
	voted(ctx context.Context, message *vote) (*voteReply, error)
	probed(ctx context.Context, message *probe) (*probeReply, error)
	pulled(ctx context.Context, message *Digest) (*snapshot, error)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: Service,
	HandlerType: (*server)(nil),
	Methods: []grpc.MethodDesc{
		peer.Unary(Service, methodHeartbeat, server.heard),
		peer.Unary(Service, methodVote, server.voted),
		peer.Unary(Service, methodProbe, server.probed),
		peer.Unary(Service, methodPull, server.pulled),
	},
}

// snapshot holds what the asker's digest lacks.
type snapshot struct {
	Roster *eelgrassbeam.InstanceList `json:"roster,omitempty"`
	// Deltas are sent in place of the roster where they lead to it.
	Deltas []RosterDelta `json:"deltas,omitempty"`
	States []EntryState  `json:"states,omitempty"`
}

func (m *Monitor) heard(_ context.Context, message *heartbeat) (*ack, error) {
	if err := message.Validate(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := m.table.heartbeat(*message, m.config.Clock.Now())
	return &reply, nil
}

func (m *Monitor) voted(_ context.Context, message *vote) (*voteReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	if now.Sub(m.lastTick) > stallIntervals*m.config.Interval {
		return &voteReply{}, nil
	}
	return &voteReply{Promised: m.promise(message.Subject, message.Incarnation, now)}, nil
}

func (m *Monitor) probed(context.Context, *probe) (*probeReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &probeReply{ID: m.config.Self.ID, Incarnation: m.term.current.incarnation}, nil
}

func (m *Monitor) pulled(_ context.Context, theirs *Digest) (*snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ours := m.view.digest()
	reply := &snapshot{}
	if ours.Roster != theirs.Roster && ours.Revision >= theirs.Revision && m.view.known {
		reply.Deltas = m.view.deltasFrom(theirs.Roster)
		if reply.Deltas == nil {
			list := m.view.roster.list()
			reply.Roster = &list
		}
	}
	if ours.States != theirs.States || ours.Roster != theirs.Roster {
		reply.States = m.view.listedStates()
	}
	return reply, nil
}

// Digest sums up this entry's view for comparison with a peer's.
func (m *Monitor) Digest() Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.digest()
}

// Pull takes over what the peer knows and this entry lacks.
func (m *Monitor) Pull(ctx context.Context, address netip.AddrPort) error {
	conn, err := m.config.Pool.Conn(address)
	if err != nil {
		return peerError(address, err)
	}
	digest := m.Digest()
	reply, err := peer.Call[snapshot](ctx, conn, Service, methodPull, &digest)
	if err != nil {
		return peerError(address, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	isChanged := reply.Roster != nil && m.view.replaceRoster(newRoster(*reply.Roster))
	for _, delta := range reply.Deltas {
		next, err := m.view.roster.apply(delta)
		if err != nil {
			break
		}
		isChanged = m.view.replaceRoster(next) || isChanged
	}
	fresh := m.view.merge(reply.States, m.config.Clock.Now())
	m.logStates(fresh, "pulled")
	if isChanged || len(fresh) > 0 {
		m.touch()
	}
	return nil
}

// NewsReady delivers a signal when this entry has found changes to spread.
func (m *Monitor) NewsReady() <-chan struct{} { return m.news }

// TakeNews returns the changes that this entry found since the last call.
func (m *Monitor) TakeNews() News {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = News{}
	return taken
}

// Merge takes over changes that a peer spreads and returns those that were new here. It returns ErrOtherBase where
// the roster's delta does not fit; then pull from the sender.
func (m *Monitor) Merge(news News) (fresh News, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if news.Roster != nil && news.Roster.Digest != m.view.roster.Digest && news.Roster.Revision >= m.view.roster.Revision {
		var next *Roster
		next, err = m.view.roster.apply(*news.Roster)
		if err == nil && m.view.replaceRoster(next) {
			fresh.Roster = news.Roster
		}
	}
	fresh.States = m.view.merge(news.States, m.config.Clock.Now())
	m.logStates(fresh.States, "spread")
	if !fresh.IsEmpty() {
		m.touch()
	}
	return fresh, err
}
