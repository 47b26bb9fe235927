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

// Run serves until the context ends or a signal to stop comes.
func (f *Fronter) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, peers, err := f.listen(ctx)
	if err != nil {
		return err
	}
	f.apply(f.config.Node)
	serving := ctx
	f.listener = callers
	group, ctx := errgroup.WithContext(ctx)
	for _, part := range []eelgrassbeam.Runner{f.config.Lines, f.viewer, f.follower, f.pool, f.gossiper, f.picker, f.upstreams} {
		group.Go(func() error { return part.Run(ctx) })
	}
	group.Go(func() error { return f.refresh(ctx) })
	group.Go(func() error { return f.callers.Serve(serving, callers) })
	group.Go(func() error { return f.peers.Serve(peers) })
	for _, server := range f.others {
		group.Go(func() error { return served(server.ListenAndServe()) })
	}
	group.Go(func() error {
		defer cancel()
		defer f.close()
		return f.await(ctx, signals)
	})
	f.log.WithFields(logrus.Fields{
		"event": "started", "zone": f.self.Zone, "region": f.self.Region, "caller": f.self.Address, "peer": f.self.PeerAddress,
		"version": f.config.Version, "first_start": f.config.Node.IsFirstStart,
	}).Info("")
	return group.Wait()
}

func (f *Fronter) listen(ctx context.Context) (callers, peers net.Listener, err error) {
	var listener net.ListenConfig
	callers, err = listener.Listen(ctx, "tcp", f.self.Address.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(fmt.Errorf("listen for callers: %w", err))
	}
	peers, err = listener.Listen(ctx, "tcp", f.self.PeerAddress.String())
	if err != nil {
		return nil, nil, oops.In("fronter").Wrap(errors.Join(fmt.Errorf("listen for peers: %w", err), callers.Close()))
	}
	return callers, peers, nil
}

// refresh passes changes of the view on to the picker and to peers.
func (f *Fronter) refresh(ctx context.Context) error {
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

// await handles signals until one to stop comes.
func (f *Fronter) await(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.config.Clock.After(settingsInterval):
			f.reload()
		case signal := <-signals:
			if signal == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.WithFields(logrus.Fields{"event": "stopping", "signal": signal}).Info("")
			if f.stopsAtOnce {
				return nil
			}
			return f.stop(ctx)
		}
	}
}

// reload reads the settings again and takes over changed ones. What they say of sockets holds from the next start on.
func (f *Fronter) reload() {
	node, err := f.config.ReadNode()
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "reload_failed", "error": err}).Error("")
		return
	}
	if !reflect.DeepEqual(node, f.node) {
		f.apply(node)
	}
}

// apply takes over settings that hold while the process runs.
func (f *Fronter) apply(node platform.Node) {
	f.node = node
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(node.MemoryBytes) * memoryShare))
	}
	f.gossiper.SetSeeds(node.Seeds)
	f.log.WithFields(logrus.Fields{
		"event": "settings_in_force", "store": node.StoreAddress, "seeds": node.Seeds, "memory_bytes": node.MemoryBytes,
	}).Info("")
}

// stop takes this entry out of look-ups, takes requests until callers have learnt of it and finishes those under way.
func (f *Fronter) stop(ctx context.Context) error {
	begun := f.config.Clock.Now()
	limit, cancel := context.WithDeadline(ctx, begun.Add(f.config.Node.StopGrace-stopReserve))
	defer cancel()
	f.stopping.Store(true)
	f.callers.Drain()
	f.gossiper.Leave(limit)
	select {
	case <-f.config.Clock.After(acceptAfterStop):
	case <-limit.Done():
	}
	closeListener := f.listener.Close()
	err := errors.Join(f.callers.Shutdown(limit), closeListener)
	f.log.WithFields(logrus.Fields{
		"event": "stopped", "took_ms": f.config.Clock.Now().Sub(begun).Milliseconds(), "error": err,
	}).Info("")
	return nil
}

func (f *Fronter) close() {
	_ = f.listener.Close()
	f.callers.Close()
	f.peers.Stop()
	for _, server := range f.others {
		_ = server.Close()
	}
	f.pool.Close()
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
