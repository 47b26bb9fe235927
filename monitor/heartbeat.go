package monitor

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

// sendHeartbeats sends one heartbeat to each watcher and waits up to one interval for the acknowledgements.
func (m *Monitor) sendHeartbeats(ctx context.Context) {
	heartbeats := m.prepareHeartbeats()
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	var group errgroup.Group
	for _, heartbeat := range heartbeats {
		group.Go(func() error {
			m.sendHeartbeat(ctx, heartbeat)
			return nil
		})
	}
	_ = group.Wait()
}

type outgoingHeartbeat struct {
	to        eelgrassbeam.Entry
	heartbeat heartbeat
}

func (m *Monitor) prepareHeartbeats() []outgoingHeartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	wasHeld := m.term.held
	isOnly := m.view.hasRoster && m.view.roster.isOnly(m.config.Self.ID)
	m.term.tick(now, m.watchers, isOnly)
	m.publishTerm(wasHeld)
	fleet := m.Fleet()
	var heartbeats []outgoingHeartbeat
	for _, id := range m.term.targets() {
		if to, ok := fleet.Entry(id); ok {
			message := m.term.heartbeat(m.config.Self.ID, id)
			message.Leaving = m.leaving
			heartbeats = append(heartbeats, outgoingHeartbeat{to: to, heartbeat: message})
		}
	}
	return heartbeats
}

func (m *Monitor) sendHeartbeat(ctx context.Context, message outgoingHeartbeat) {
	conn, err := m.config.Pool.Conn(message.to.PeerAddress)
	if err != nil {
		m.metrics.heartbeats.WithLabelValues("unreachable").Inc()
		return
	}
	sent := m.config.Clock.Now()
	reply, err := peer.Call[ack](ctx, conn, Service, methodHeartbeat, &message.heartbeat)
	if err != nil {
		m.metrics.heartbeats.WithLabelValues("unreachable").Inc()
		if isTimeout(err) && !m.keepUnresponsive {
			m.config.Pool.Evict(message.to.PeerAddress, conn)
		}
		return
	}
	m.metrics.heartbeats.WithLabelValues(string(reply.Result)).Inc()
	m.handleAck(message, sent, *reply)
}

func (m *Monitor) handleAck(message outgoingHeartbeat, sent time.Time, reply ack) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasHeld := m.term.held
	if reply.Result == ackOK {
		m.term.acknowledge(m.config.Clock.Now(), message.to.ID, message.heartbeat.Incarnation, sent)
	} else {
		m.term.refuse(message.to.ID, message.heartbeat.Incarnation, reply)
	}
	m.publishTerm(wasHeld)
}

// publishTerm publishes the term for HoldsTerm and HeldSince and logs its changes. The caller holds the mutex.
func (m *Monitor) publishTerm(wasHeld bool) {
	if !m.term.held {
		m.heldTerm.Store(nil)
	} else {
		m.heldTerm.Store(&termInterval{since: m.term.since, until: m.term.until})
	}
	if wasHeld == m.term.held {
		return
	}
	event := "term_held"
	if wasHeld {
		event = "term_lapsed"
		m.metrics.lapses.Inc()
	}
	m.config.Log.WithFields(logrus.Fields{"event": event, "incarnation": m.term.current.incarnation}).Info("")
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded
}
