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

// beat sends one heartbeat to each watcher and waits for the answers, at most one interval.
func (m *Monitor) beat(ctx context.Context) {
	messages := m.prepare()
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	var group errgroup.Group
	for _, message := range messages {
		group.Go(func() error {
			m.send(ctx, message)
			return nil
		})
	}
	_ = group.Wait()
}

type outgoing struct {
	to        eelgrassbeam.Entry
	heartbeat heartbeat
}

func (m *Monitor) prepare() []outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Clock.Now()
	wasHeld := m.term.held
	isAlone := m.view.known && m.view.roster.isOnly(m.config.Self.ID)
	m.term.tick(now, m.watchers, isAlone)
	m.publishTerm(wasHeld)
	fleet := m.Fleet()
	var messages []outgoing
	for _, id := range m.term.targets() {
		if to, ok := fleet.Entry(id); ok {
			message := m.term.heartbeat(m.config.Self.ID, id)
			message.Leaving = m.leaving
			messages = append(messages, outgoing{to: to, heartbeat: message})
		}
	}
	return messages
}

func (m *Monitor) send(ctx context.Context, message outgoing) {
	conn, err := m.config.Pool.Conn(message.to.PeerAddress)
	if err != nil {
		m.metrics.heartbeats.WithLabelValues("unreachable").Inc()
		return
	}
	sent := m.config.Clock.Now()
	reply, err := peer.Call[ack](ctx, conn, Service, methodHeartbeat, &message.heartbeat)
	if err != nil {
		m.metrics.heartbeats.WithLabelValues("unreachable").Inc()
		if isTimeout(err) && !m.keepsSilent {
			m.config.Pool.Evict(message.to.PeerAddress, conn)
		}
		return
	}
	m.metrics.heartbeats.WithLabelValues(string(reply.Result)).Inc()
	m.answer(message, sent, *reply)
}

func (m *Monitor) answer(message outgoing, sent time.Time, reply ack) {
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

// publishTerm makes the term known to those who ask for it; the caller holds the mutex.
func (m *Monitor) publishTerm(wasHeld bool) {
	if !m.term.held {
		m.held.Store(nil)
	} else {
		m.held.Store(&holding{since: m.term.since, until: m.term.until})
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
