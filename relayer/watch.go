package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configholder"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
)

const (
	// watchWait is how long the platform may hold a watch without changes.
	watchWait = 10 * time.Second
	// roleInterval is the interval at which an entry that is not a watcher checks whether it has become one.
	roleInterval = 500 * time.Millisecond
	// verifyInterval is the interval of the version checks of verifyLoop. verifyWait is how long the platform may hold
	// such a check, which is short enough to return at once. verifyTimeout bounds it if it hangs nevertheless.
	verifyInterval = 3 * time.Second
	verifyWait     = time.Millisecond
	verifyTimeout  = time.Second
	// watchRetryMin and watchRetryMax bound the backoff after a failed watch.
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
)

// watchLoop long-polls the platform for configuration changes while this entry is a watcher.
func (r *Relayer) watchLoop(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = watchRetryMin, watchRetryMax
	revision := eelgrassbeam.Revision(0)
	for ctx.Err() == nil {
		if !r.isWatcher() {
			revision = 0
			r.sleep(ctx, roleInterval)
			continue
		}
		if _, err := r.poll(ctx, &revision, watchWait); err != nil {
			r.sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// verifyLoop checks the platform's version with short calls, since a watch may hang without reporting changes. It also
// stores again what a restored store has lost.
func (r *Relayer) verifyLoop(ctx context.Context) {
	revision := eelgrassbeam.Revision(0)
	for r.sleep(ctx, verifyInterval) {
		if !r.isWatcher() {
			revision = 0
			continue
		}
		if !r.skipsVersionCheck && r.checkVersion(ctx, &revision) {
			r.metrics.lateWatches.Inc()
		}
		if err := r.storeLost(ctx); errors.Is(err, eelgrassbeam.ErrConflict) {
			revision = 0
		}
	}
}

// checkVersion reads the changes after the revision with a short watch. If that fails, it lists all objects, since a
// store may leave watches of any length without an answer. It reports whether a new version was applied.
func (r *Relayer) checkVersion(ctx context.Context, revision *eelgrassbeam.Revision) (isNew bool) {
	if *revision > 0 {
		bounded, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		if isNew, err := r.poll(bounded, revision, verifyWait); err == nil {
			return isNew
		}
	}
	isNew, _ = r.list(ctx, revision)
	return isNew
}

// poll waits for changes after the revision, offers them to the config holder and advances the revision. At revision
// zero it lists all objects instead. It reports whether a new version was applied.
func (r *Relayer) poll(ctx context.Context, revision *eelgrassbeam.Revision, wait time.Duration) (isNew bool, err error) {
	if *revision == 0 {
		return r.list(ctx, revision)
	}
	events, err := r.config.Store.Watch(ctx, configwriter.Kind, *revision, wait)
	if errors.Is(err, eelgrassbeam.ErrCompacted) {
		*revision = 0
		return false, nil
	}
	if err != nil {
		return false, err
	}
	for _, event := range events.Events {
		isNew = !event.Deleted && !event.IsUnreadable && r.offerObject(event.Object) || isNew
	}
	*revision = max(*revision, events.Revision)
	return isNew, nil
}

func (r *Relayer) list(ctx context.Context, revision *eelgrassbeam.Revision) (isNew bool, err error) {
	list, err := r.config.Store.List(ctx, configwriter.Kind)
	if err != nil {
		return false, err
	}
	r.stored.record(eelgrassbeam.ConfigurationID{Revision: eelgrassbeam.NewRevision(list.Revision.Era(), 0)})
	for _, object := range list.Objects {
		isNew = r.offerObject(object) || isNew
	}
	// At revision zero, poll would list the objects again.
	*revision = max(list.Revision, 1)
	return isNew, nil
}

// offerObject offers the stored configuration to the config holder and reports whether it was newer and applied. One of
// the era in force that isn't newer is not decoded.
func (r *Relayer) offerObject(object eelgrassbeam.Object) bool {
	if object.Name != configwriter.Name {
		return false
	}
	if before := r.inForce(); object.Version.Era() == before.Revision.Era() && object.Version <= before.Revision {
		r.stored.record(before)
		return false
	}
	configuration, err := configwriter.Decode(object)
	if err != nil {
		r.stored.record(eelgrassbeam.ConfigurationID{Revision: object.Version})
		r.config.Log.WithField("event", "config_invalid").WithField("error", err).Error("")
		return false
	}
	r.stored.record(configuration.ID())
	return r.config.ConfigHolder.Offer(configuration, configholder.SourcePlatform) == nil
}

// spreadConfiguration sends the configuration of the revision down the zone's tree from this entry, as a delta against
// base if possible.
func (r *Relayer) spreadConfiguration(ctx context.Context, base, revision eelgrassbeam.Revision) {
	message := push{From: r.config.Self.ID, Root: r.config.Self.ID, Scope: scopeZone, Key: uint64(revision)}
	message.Configuration = r.history.update(base, revision)
	if message.Configuration == nil {
		return
	}
	r.forward(ctx, message)
}
