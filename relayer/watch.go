package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/changer"
	"github.com/eelgrassbeam/eelgrassbeam/holder"
)

const (
	watchWait     = 10 * time.Second
	roleInterval  = 500 * time.Millisecond
	verifyTime    = 3 * time.Second
	verifyWait    = time.Millisecond
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
)

// watch holds the long poll on the configuration while this entry is a watcher.
func (r *Relayer) watch(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = watchRetryMin, watchRetryMax
	revision := uint64(0)
	for ctx.Err() == nil {
		if !r.isWatcher() {
			revision = 0
			r.pause(ctx, roleInterval)
			continue
		}
		if _, err := r.poll(ctx, &revision, watchWait); err != nil {
			r.pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// verify compares versions with the platform by short calls, since a watch may have gone silent.
func (r *Relayer) verify(ctx context.Context) {
	revision := uint64(0)
	for r.pause(ctx, verifyTime) {
		if !r.isWatcher() || r.skipsVerify {
			revision = 0
			continue
		}
		if isNew, _ := r.poll(ctx, &revision, verifyWait); isNew {
			r.metrics.late.Inc()
		}
	}
}

// poll waits for changes after the revision and offers them; a revision of zero reads all. It tells whether any was new.
func (r *Relayer) poll(ctx context.Context, revision *uint64, wait time.Duration) (isNew bool, err error) {
	if *revision == 0 {
		return r.read(ctx, revision)
	}
	events, err := r.config.Store.Watch(ctx, changer.Kind, *revision, wait)
	if errors.Is(err, eelgrassbeam.ErrCompacted) {
		*revision = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, event := range events.Events {
		isNew = !event.Deleted && r.offerObject(event.Object) || isNew
	}
	*revision = max(*revision, events.Revision)
	return isNew, nil
}

func (r *Relayer) read(ctx context.Context, revision *uint64) (isNew bool, err error) {
	list, err := r.config.Store.List(ctx, changer.Kind)
	if err != nil {
		return false, err
	}
	for _, object := range list.Objects {
		isNew = r.offerObject(object) || isNew
	}
	*revision = max(list.Revision, 1)
	return isNew, nil
}

// offerObject applies the configuration that the platform holds and tells whether it was new.
func (r *Relayer) offerObject(object eelgrassbeam.Object) bool {
	before, _ := r.config.Holder.InForce()
	if object.Name != changer.Name || object.Version <= before {
		return false
	}
	configuration, err := changer.Decode(object)
	if err != nil {
		r.config.Log.WithField("event", "config_invalid").WithField("error", err).Error("")
		return false
	}
	return r.config.Holder.Offer(configuration, holder.SourcePlatform) == nil
}

// spreadConfiguration sends the configuration in force down the zone's tree, with this entry at the root.
func (r *Relayer) spreadConfiguration(ctx context.Context, base, version uint64) {
	message := push{From: r.config.Self.ID, Root: r.config.Self.ID, Scope: scopeZone, Key: version}
	message.Configuration = r.history.update(base, version)
	if message.Configuration == nil {
		return
	}
	r.forward(ctx, message)
}
