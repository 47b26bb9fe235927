package fronter

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
func (f *Fronter) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callerListener, peerListener, err := f.listen(ctx)
	if err != nil {
		return err
	}
	f.applySettings(f.config.Settings)
	serveCtx := ctx // unlike the group's context, it is not cancelled as soon as a component fails
	f.callerListener = callerListener
	group, ctx := errgroup.WithContext(ctx)
	for _, runner := range []eelgrassbeam.Runner{f.config.LogWriter, f.viewer, f.follower, f.pool, f.gossiper, f.picker, f.upstreams} {
		group.Go(func() error { return runner.Run(ctx) })
	}
	group.Go(func() error { return f.propagateChanges(ctx) })
	group.Go(func() error { return f.receiver.Serve(serveCtx, callerListener) })
	group.Go(func() error { return f.peerServer.Serve(peerListener) })
	for _, server := range f.httpServers {
		group.Go(func() error { return ignoreServerClosed(server.ListenAndServe()) })
	}
	group.Go(func() error {
		defer cancel()
		defer f.close()
		return f.handleSignals(ctx, signals)
	})
	f.log.WithFields(logrus.Fields{
		"event": "started", "zone": f.self.Zone, "region": f.self.Region, "caller": f.self.Address, "peer": f.self.PeerAddress,
		"version": f.config.Version, "first_start": f.config.Settings.IsFirstStart,
	}).Info("")
	return group.Wait()
}

func (f *Fronter) listen(ctx context.Context) (callerListener, peerListener net.Listener, err error) {
	var config net.ListenConfig
	callerListener, err = config.Listen(ctx, "tcp", f.self.Address.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(fmt.Errorf("listen for callers: %w", err))
	}
	peerListener, err = config.Listen(ctx, "tcp", f.self.PeerAddress.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(errors.Join(fmt.Errorf("listen for peers: %w", err), callerListener.Close()))
	}
	return callerListener, peerListener, nil
}

// propagateChanges notifies the picker and the gossiper of changes of the view.
func (f *Fronter) propagateChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.viewer.Changed():
			f.picker.Refresh()
			f.gossiper.NotifyChange()
		}
	}
}

// handleSignals handles signals and polls the settings file, until a stop signal has been handled or ctx is done.
func (f *Fronter) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.config.Clock.After(settingsPollInterval):
			f.reload()
		case signal := <-signals:
			if signal == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal}).Info("")
			if f.stopsImmediately {
				return nil
			}
			return f.stop(ctx)
		}
	}
}

// reload reads the settings file and applies changes. Socket addresses take effect only at the next start.
func (f *Fronter) reload() {
	settings, err := f.config.ReadSettings()
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "reload_failed", "error": err}).Error("")
		return
	}
	if !reflect.DeepEqual(settings, f.settings) {
		f.applySettings(settings)
	}
}

// applySettings applies the settings that can change at run time.
func (f *Fronter) applySettings(settings platform.Settings) {
	f.settings = settings
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitRatio))
	}
	f.gossiper.SetSeeds(settings.Seeds)
	f.log.WithFields(logrus.Fields{
		"event": "settings_in_force", "store": settings.StoreAddress, "seeds": settings.Seeds, "memory_bytes": settings.MemoryBytes,
	}).Info("")
}

// stop drains this entry: lookups no longer return it, it accepts requests until callers have learned of the stop, and
// it completes the requests in progress.
func (f *Fronter) stop(ctx context.Context) error {
	started := f.config.Clock.Now()
	drainCtx, cancel := context.WithDeadline(ctx, started.Add(f.config.Settings.StopGrace-exitReserve))
	defer cancel()
	f.stopping.Store(true)
	f.receiver.Drain()
	f.gossiper.Leave(drainCtx)
	select {
	case <-f.config.Clock.After(drainDelay):
	case <-drainCtx.Done():
	}
	closeErr := f.callerListener.Close()
	err := errors.Join(f.receiver.Shutdown(drainCtx), closeErr)
	f.log.WithFields(logrus.Fields{
		"event": "stopped", "took_ms": f.config.Clock.Now().Sub(started).Milliseconds(), "error": err,
	}).Info("")
	return nil
}

func (f *Fronter) close() {
	_ = f.callerListener.Close()
	f.receiver.Close()
	f.peerServer.Stop()
	for _, server := range f.httpServers {
		_ = server.Close()
	}
	f.pool.Close()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
