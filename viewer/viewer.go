// Package viewer maintains this entry's in-memory view of the platform's objects from updates of the store and of
// peers.
package viewer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// expiredRetention is how long upstreams whose registration expired during a store outage are kept after the
	// store recovers. Running upstreams register again within about 2 s.
	expiredRetention = 2 * time.Second
	// outageThreshold is the time without a response from the store that counts as an outage.
	outageThreshold = time.Second
	// sweepInterval is the time between checks for upstreams whose retention has ended.
	sweepInterval = 100 * time.Millisecond
	// maxLoggedFaults bounds the faults of a configuration that are logged.
	maxLoggedFaults = 10
	// maxTombstones bounds the tombstones kept. A fleet replaces fewer upstreams than this in the time that a peer can
	// lag behind.
	maxTombstones = 20000
	// restoredZoneColdTime is the minimum time for which the upstreams of a zone count as cold after its evacuation
	// ends. It covers two of their registrations.
	restoredZoneColdTime = 3 * time.Second
)

// Config configures a Viewer.
type Config struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// DecodeRouting decodes the stored form of the routing.
	DecodeRouting func(value []byte) (*eelgrassbeam.Routing, error)
	// Heartbeat is the interval at which upstreams renew their registrations.
	Heartbeat time.Duration
	// ZoneReachesStore reports whether the store responds to the watchers of this entry's zone, as far as is known.
	ZoneReachesStore func() bool
	// SharesConfirmations reports whether peers are told how long ago the routing was confirmed.
	SharesConfirmations bool
}

// trackedUpstream is an upstream with the time of its removal, zero unless its registration has expired, and the time
// from which it is used, zero unless the store was restored with a registration that had been removed.
type trackedUpstream struct {
	upstream eelgrassbeam.Upstream
	removeAt time.Time
	// isLost reports whether removeAt is set only because a restored store lacks the registration.
	isLost  bool
	admitAt time.Time
}

// tombstone records the removal of an upstream.
type tombstone struct {
	// deletedRevision is the revision up to which the upstream's registrations are deleted.
	deletedRevision eelgrassbeam.Revision
	// observedRevision is the revision of the view at which the removal was observed.
	observedRevision eelgrassbeam.Revision
	// started is the start time of the upstream, zero if no more is known than that a restored store lacks it.
	started int64
}

// UpstreamChange is a changed registration of an upstream, or its removal.
type UpstreamChange struct {
	Upstream eelgrassbeam.Upstream
	// Removed is set for a removal, which deletes all registrations before it; those up to Revision are before it.
	Removed  eelgrassbeam.UpstreamID
	Revision eelgrassbeam.Revision
}

// Viewer implements eelgrassbeam.ViewSource. It is safe for concurrent use.
type Viewer struct {
	config  Config
	view    atomic.Pointer[eelgrassbeam.View]
	changed chan struct{}
	// treatsLeavingAsLive stores leaving upstreams as live; used in tests only.
	treatsLeavingAsLive bool

	mu        sync.Mutex
	upstreams map[eelgrassbeam.UpstreamID]trackedUpstream
	// tombstones keep a peer's older registration from restoring a removed upstream.
	tombstones map[eelgrassbeam.UpstreamID]tombstone
	// lastOutageAt is the time of the latest failed call of a store outage, lastResponseAt that of the latest response.
	lastOutageAt, lastResponseAt time.Time
	// isSynced reports whether a full list of upstreams has been applied.
	isSynced bool
	// isCalling reports whether this entry calls the store at present, storeFailed whether the latest call failed.
	isCalling, storeFailed bool
	// wasStoreAway reports whether the store was away at the latest sweep.
	wasStoreAway bool
	// tombstonesSince is the store revision from which the tombstones are complete.
	tombstonesSince eelgrassbeam.Revision
	// confirmedAt is when the store last confirmed that the current routing is the latest; zero if it hasn't.
	confirmedAt time.Time
	// routingValue is the stored form of the current routing.
	routingValue []byte
	// evacuations holds the evacuated zones with the end of their retention, zero for those in the store.
	evacuations map[eelgrassbeam.ZoneID]time.Time
}

// New returns a Viewer with an empty view.
func New(config Config) *Viewer {
	v := &Viewer{config: config, changed: make(chan struct{}, 1), upstreams: make(map[eelgrassbeam.UpstreamID]trackedUpstream), tombstones: make(map[eelgrassbeam.UpstreamID]tombstone), evacuations: make(map[eelgrassbeam.ZoneID]time.Time)}
	v.view.Store(&eelgrassbeam.View{})
	return v
}

// View implements eelgrassbeam.ViewSource.
func (v *Viewer) View() *eelgrassbeam.View { return v.view.Load() }

// Changed returns a channel that receives after the view changes; several changes may be coalesced into one value.
func (v *Viewer) Changed() <-chan struct{} { return v.changed }

// Run ends retentions when they are due, until ctx is done.
func (v *Viewer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.config.Clock.After(sweepInterval):
			v.sweep()
		}
	}
}

// RecordResponse records that the store responded to a call.
func (v *Viewer) RecordResponse() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastResponseAt, v.isCalling, v.storeFailed = v.config.Clock.Now(), true, false
}

// IsStoreReachable reports whether the store responded to the latest call, or this entry makes none.
func (v *Viewer) IsStoreReachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.storeFailed
}

// RecordFailure records that the store did not respond. After outageThreshold without a response it restarts the
// retention of expired upstreams.
func (v *Viewer) RecordFailure() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isCalling, v.storeFailed = true, true
	if v.isOutage() {
		v.lastOutageAt = v.config.Clock.Now()
	}
}

// isOutage reports whether the store, which doesn't respond, hasn't done so for outageThreshold. The caller must hold v.mu.
func (v *Viewer) isOutage() bool {
	return v.config.Clock.Now().Sub(v.lastResponseAt) > outageThreshold
}

// isStoreAway reports whether the store doesn't respond to this entry or, while this entry makes no calls, to its zone.
// The caller must hold v.mu.
func (v *Viewer) isStoreAway(zoneReachesStore bool) bool {
	if v.isCalling {
		return v.storeFailed
	}
	return !zoneReachesStore
}

// RecordPause records that this entry makes no calls for the time being. A failed one no longer tells of the store.
func (v *Viewer) RecordPause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isCalling, v.storeFailed = false, false
}

// UpdateRouting decodes the routing and applies it if its version is higher than that of the current one.
func (v *Viewer) UpdateRouting(value []byte, revision eelgrassbeam.Revision, source string) {
	received := v.config.Clock.Now()
	routing, err := v.config.DecodeRouting(value)
	if err != nil {
		v.config.Log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": revision, "source": source, "error": err}).Error("")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	if view.Routing != nil && routing.Version <= view.Routing.Version {
		if revision > view.RoutingRevision {
			v.publish(view.WithRouting(view.Routing, revision))
		}
		return
	}
	v.routingValue, v.confirmedAt = value, time.Time{}
	if source != sourcePeer {
		v.confirmedAt = received // the store's answers are the latest
	}
	v.publish(view.WithRouting(routing, revision))
	v.config.Log.WithFields(logrus.Fields{
		"event": "configuration_in_force", "version": routing.Version, "revision": revision, "source": source,
		"routes": len(routing.Routes), "bytes": len(value), "took_ms": v.config.Clock.Now().Sub(received).Milliseconds(),
	}).Info("")
	v.logFaults(routing)
}

// logFaults logs in one line what of the configuration can't be used.
func (v *Viewer) logFaults(routing *eelgrassbeam.Routing) {
	if len(routing.Faults) == 0 {
		return
	}
	first := make([]string, min(len(routing.Faults), maxLoggedFaults))
	for i := range first {
		first[i] = routing.Faults[i].String()
	}
	v.config.Log.WithFields(logrus.Fields{
		"event": "configuration_faults", "version": routing.Version, "faults": len(routing.Faults), "first": first,
	}).Warn("")
}

func (v *Viewer) sweep() {
	zoneReachesStore := v.config.ZoneReachesStore() // may call the viewer, so before the lock
	v.mu.Lock()
	defer v.mu.Unlock()
	isStoreAway := v.isStoreAway(zoneReachesStore)
	v.wasStoreAway = isStoreAway
	v.expireEvacuations(isStoreAway)
	now, changed := v.config.Clock.Now(), false
	for id, tracked := range v.upstreams {
		switch {
		case tracked.isHeld() && !isStoreAway && !now.Before(tracked.admitAt):
			// A hold waits while the store is away, since a removal isn't known then.
			v.admit(id, tracked)
		case tracked.isLost && isStoreAway:
			v.retainLost(id, tracked)
			continue
		case !tracked.removeAt.IsZero() && !now.Before(tracked.removeAt):
			delete(v.upstreams, id)
			v.config.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id, "reason": "lapsed"}).Info("")
		default:
			continue
		}
		changed = true
	}
	if changed {
		v.publishUpstreams(v.view.Load().UpstreamsRevision)
	}
}

// publishUpstreams must be called with v.mu held.
func (v *Viewer) publishUpstreams(revision eelgrassbeam.Revision) {
	upstreams := make([]eelgrassbeam.Upstream, 0, len(v.upstreams))
	for _, tracked := range v.upstreams {
		if !tracked.isHeld() {
			upstreams = append(upstreams, tracked.upstream)
		}
	}
	view := v.view.Load()
	// The view is not ready before a full list has been applied.
	if !v.isSynced {
		revision = 0
	}
	v.publish(view.WithUpstreams(upstreams, max(revision, view.UpstreamsRevision)))
}

// publish must be called with v.mu held.
func (v *Viewer) publish(view *eelgrassbeam.View) {
	v.view.Store(view)
	select {
	case v.changed <- struct{}{}:
	default:
	}
}
