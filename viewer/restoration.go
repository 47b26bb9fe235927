package viewer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// restoredRetention is how long an evacuation that a restored store lacks stays in force. Operators write again what
	// the store has lost.
	restoredRetention = 3 * time.Second
	// heldHeartbeats is how many heartbeats after a restoration a registration that had been removed is used again. That
	// of an upstream that is gone expires after three.
	heldHeartbeats = 4
)

// isLaterEra reports whether the store was restored from an older copy between the known revision and a later one.
func isLaterEra(later, known eelgrassbeam.Revision) bool {
	return known > 0 && later.Era() > known.Era()
}

// isHeld reports whether the upstream is not used yet.
func (t trackedUpstream) isHeld() bool { return !t.admitAt.IsZero() }

// wasRemoved reports whether the registration, which a restored store lists, had been removed before. The caller must
// hold v.mu.
func (v *Viewer) wasRemoved(upstream eelgrassbeam.Upstream) bool {
	if tracked, ok := v.upstreams[upstream.ID]; ok {
		return tracked.isHeld() && upstream.Started <= tracked.upstream.Started
	}
	marker, ok := v.tombstones[upstream.ID]
	return ok && marker.started > 0 && upstream.Started <= marker.started
}

// hold tracks an upstream that counts as gone unless its registration outlives the time in which that of a lost upstream
// expires. The caller must hold v.mu.
func (v *Viewer) hold(upstream eelgrassbeam.Upstream) {
	v.upstreams[upstream.ID] = trackedUpstream{upstream: upstream, admitAt: v.config.Clock.Now().Add(heldHeartbeats * v.config.Heartbeat)}
	v.config.Log.WithFields(logrus.Fields{
		"event": "upstream_held", "upstream": upstream.ID, "service": upstream.Service, "revision": upstream.Revision,
	}).Info("")
}

// admit ends the hold of an upstream. The caller must hold v.mu.
func (v *Viewer) admit(id eelgrassbeam.UpstreamID, tracked trackedUpstream) {
	tracked.admitAt = time.Time{}
	v.upstreams[id] = tracked
	delete(v.tombstones, id)
	v.config.Log.WithFields(logrus.Fields{
		"event": "upstream_known", "upstream": id, "service": tracked.upstream.Service, "reason": "restored",
	}).Info("")
}

// markLost begins the retention of an upstream that a restored store lacks. The caller must hold v.mu.
func (v *Viewer) markLost(id eelgrassbeam.UpstreamID) {
	if tracked, ok := v.upstreams[id]; ok {
		tracked.isLost, tracked.removeAt = true, v.config.Clock.Now().Add(expiredRetention)
		v.upstreams[id] = tracked
	}
}

// retainLost restarts the retention of a lost upstream while the store is away, since it can't register then. The caller
// must hold v.mu.
func (v *Viewer) retainLost(id eelgrassbeam.UpstreamID, tracked trackedUpstream) {
	if v.isOutage() {
		tracked.removeAt = v.config.Clock.Now().Add(expiredRetention)
		v.upstreams[id] = tracked
	}
}
