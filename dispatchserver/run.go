package dispatchserver

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/monitor"
)

const (
	// finishShare is the last part of a planned stop, as a share of StopTimeout, in which no new requests are accepted.
	finishShare = 1.0 / 3
	// answerReserve is the time before the end of a planned stop at which the deadlines of new requests end, so that their
	// responses can still be written.
	answerReserve = 200 * time.Millisecond
)

// stopPollInterval is the interval at which a planned stop checks for requests in progress.
const stopPollInterval = 50 * time.Millisecond

// Run serves until ctx ends or a signal arrives. The first signal starts a planned stop; the second ends it at once.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, runner := range s.runners() {
		group.Go(func() error { return runner.Run(ctx) })
	}
	group.Go(func() error { return ignoreServerClosed(s.callerServer.Serve(s.listeners.caller)) })
	group.Go(func() error { return ignoreServerClosed(s.serveOperators()) })
	group.Go(func() error { return s.peerServer.Serve(s.listeners.peer) })
	group.Go(func() error {
		defer cancel()
		defer s.close()
		select {
		case <-ctx.Done():
			return nil
		case signal := <-signals:
			s.config.Log.WithFields(logrus.Fields{"event": "stopping", "signal": signal}).Info("")
			return s.stop(ctx, signals)
		}
	})
	return group.Wait()
}

// runners returns the components that run in the background alongside the servers.
func (s *Server) runners() []eelgrassbeam.Runner {
	return []eelgrassbeam.Runner{
		s.requestPool, s.controlPool, s.monitor, s.relayer, s.assigner, s.upstreams, s.recorder, s.dispatcher, s.deduplicator, s.granter, s.credits,
	}
}

func (s *Server) serveOperators() error {
	if s.operatorServer.TLSConfig == nil {
		return s.operatorServer.Serve(s.listeners.operator)
	}
	return s.operatorServer.ServeTLS(s.listeners.operator, "", "")
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop performs a planned stop. It announces that this entry is leaving, keeps serving for as long as callers may
// hold a lookup that names it, and then waits for requests in progress. A second signal or the stop timeout ends it
// at once.
func (s *Server) stop(ctx context.Context, signals <-chan os.Signal) error {
	started := s.config.Clock.Now()
	stopCtx, cancel := context.WithTimeout(ctx, s.config.StopTimeout)
	defer cancel()
	group, _ := errgroup.WithContext(stopCtx)
	done := make(chan struct{})
	group.Go(func() error {
		select {
		case <-signals:
			cancel()
		case <-done:
		}
		return nil
	})
	end := started.Add(s.config.StopTimeout)
	s.stopEnd.Store(&end)
	s.stopping.Store(true)
	s.monitor.Leave()
	s.sleep(stopCtx, min(s.lookupLifetime(), s.config.StopTimeout-s.finishTime()))
	err := s.callerServer.Shutdown(stopCtx)
	s.stopPeerServer(stopCtx, group)
	s.awaitRequests(stopCtx)
	close(done)
	_ = group.Wait()
	return s.logStop(started, err)
}

// stopPeerServer rejects new calls from other entries and waits for those in progress. It aborts them when ctx ends.
func (s *Server) stopPeerServer(ctx context.Context, group *errgroup.Group) {
	stopped := make(chan struct{})
	group.Go(func() error {
		s.peerServer.GracefulStop()
		close(stopped)
		return nil
	})
	select {
	case <-stopped:
	case <-ctx.Done():
		s.peerServer.Stop()
	}
}

// awaitRequests waits until this entry has no request in progress as a dispatcher or as the home of an idempotency
// key, or until ctx ends.
func (s *Server) awaitRequests(ctx context.Context) {
	for s.inProgress() > 0 && ctx.Err() == nil {
		s.sleep(ctx, stopPollInterval)
	}
}

func (s *Server) inProgress() int { return s.dispatcher.InProgress() + s.keyRouter.InProgress() }

func (s *Server) logStop(started time.Time, err error) error {
	aborted := s.inProgress()
	s.config.Log.WithFields(logrus.Fields{
		"event": "stopped", "drain_time": s.config.Clock.Now().Sub(started), "cut": aborted,
		"served": s.dispatcher.ExchangesStarted(), "error": err,
	}).Info("")
	if err != nil || aborted > 0 {
		return fmt.Errorf("%w: %d in progress", ErrRequestsAborted, aborted)
	}
	return nil
}

func (s *Server) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.config.Clock.After(d):
	}
}

// finishTime returns the last part of a planned stop, in which no new requests are accepted.
func (s *Server) finishTime() time.Duration {
	return time.Duration(finishShare * float64(s.config.StopTimeout))
}

// requestTimeLimit returns the maximum time to the deadline of a new request, zero if none is accepted any more.
func (s *Server) requestTimeLimit() time.Duration {
	end := s.stopEnd.Load()
	if end == nil {
		return math.MaxInt64
	}
	left := end.Sub(s.config.Clock.Now())
	if left < s.finishTime() {
		return 0
	}
	return left - answerReserve
}

// lookupLifetime returns how long callers may still use a lookup that names this entry. Other entries name it until
// they learn that it is leaving, at the latest until its term and the safety margin have expired, and callers cache a
// lookup for its TTL.
func (s *Server) lookupLifetime() time.Duration {
	return s.lookupTTL() + monitor.DefaultTerm + monitor.DefaultMargin
}

func (s *Server) lookupTTL() time.Duration {
	configuration, ok := s.configHolder.Configuration()
	if !ok {
		return 0
	}
	return configuration.Defaults.LookupTTL.Duration
}

// close closes the servers and connections. A planned stop that completed has drained them before.
func (s *Server) close() {
	_ = s.callerServer.Close()
	_ = s.operatorServer.Close()
	s.peerServer.Stop()
	s.requestPool.Close()
	s.controlPool.Close()
	s.upstreams.Close()
}
