package directserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// Run serves until ctx is done or a stop signal arrives.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callerListener, peerListener, err := s.listen(ctx)
	if err != nil {
		return err
	}
	s.applySettings(s.config.Settings)
	serveCtx := ctx // unlike the group's context, it is not cancelled as soon as a component fails
	s.callerListener = callerListener
	group, ctx := errgroup.WithContext(ctx)
	for _, runner := range []eelgrassbeam.Runner{s.config.LogWriter, s.viewer, s.watcher, s.pool, s.gossiper, s.picker, s.upstreams, s.quotas} {
		group.Go(func() error { return runner.Run(ctx) })
	}
	group.Go(func() error { return s.propagateChanges(ctx) })
	group.Go(func() error { return s.callerServer.Serve(serveCtx, callerListener) })
	group.Go(func() error { return s.peerServer.Serve(peerListener) })
	for _, server := range s.httpServers {
		group.Go(func() error { return ignoreServerClosed(server.ListenAndServe()) })
	}
	group.Go(func() error {
		defer cancel()
		defer s.close()
		return s.handleSignals(ctx, signals)
	})
	s.log.WithFields(logrus.Fields{
		"event": "started", "zone": s.self.Zone, "region": s.self.Region, "caller": s.self.Address, "peer": s.self.PeerAddress,
		"version": s.config.Version, "first_start": s.config.Settings.IsFirstStart,
	}).Info("")
	return group.Wait()
}

func (s *Server) listen(ctx context.Context) (callerListener, peerListener net.Listener, err error) {
	var config net.ListenConfig
	callerListener, err = config.Listen(ctx, "tcp", s.self.Address.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(fmt.Errorf("listen for callers: %w", err))
	}
	peerListener, err = config.Listen(ctx, "tcp", s.self.PeerAddress.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(errors.Join(fmt.Errorf("listen for peers: %w", err), callerListener.Close()))
	}
	return callerListener, peerListener, nil
}

// propagateChanges notifies the picker and the gossiper of changes of the view.
func (s *Server) propagateChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.viewer.Changed():
			s.picker.Refresh()
			s.gossiper.NotifyChange()
		}
	}
}

// handleSignals handles signals and polls the settings file, until a stop signal has been handled or ctx is done.
func (s *Server) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.config.Clock.After(settingsPollInterval):
			s.reload()
		case signal := <-signals:
			if signal == syscall.SIGHUP {
				s.reload()
				continue
			}
			s.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal}).Info("")
			if s.stopsImmediately {
				return nil
			}
			return s.stop(ctx)
		}
	}
}

// reload reads the settings file and applies changes. Socket addresses take effect only at the next start.
func (s *Server) reload() {
	settings, err := s.config.ReadSettings()
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "reload_failed", "error": err}).Error("")
		return
	}
	if !reflect.DeepEqual(settings, s.settings) {
		s.applySettings(settings)
	}
}

// applySettings applies the settings that can change at run time.
func (s *Server) applySettings(settings platform.Settings) {
	s.settings = settings
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitRatio))
	}
	s.gossiper.SetSeeds(settings.Seeds)
	s.log.WithFields(logrus.Fields{
		"event": "settings_in_force", "store": settings.StoreAddress, "seeds": settings.Seeds, "memory_bytes": settings.MemoryBytes,
	}).Info("")
}

// stop drains this entry: lookups no longer return it, it accepts requests until callers have learned of the stop, and
// it completes the requests in progress.
func (s *Server) stop(ctx context.Context) error {
	started := s.config.Clock.Now()
	drainCtx, cancel := context.WithDeadline(ctx, started.Add(s.config.Settings.StopGrace-exitReserve))
	defer cancel()
	s.stopping.Store(true)
	if end, ok := drainCtx.Deadline(); ok {
		s.picker.Stop(end)
	}
	s.callerServer.Drain()
	s.gossiper.Leave(drainCtx)
	select {
	case <-s.config.Clock.After(drainDelay):
	case <-drainCtx.Done():
	}
	closeErr := s.callerListener.Close()
	err := errors.Join(s.callerServer.Shutdown(drainCtx), closeErr)
	s.log.WithFields(logrus.Fields{
		"event": "stopped", "took_ms": s.config.Clock.Now().Sub(started).Milliseconds(), "error": err,
	}).Info("")
	return nil
}

func (s *Server) close() {
	_ = s.callerListener.Close()
	s.callerServer.Close()
	s.peerServer.Stop()
	for _, server := range s.httpServers {
		_ = server.Close()
	}
	s.pool.Close()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
