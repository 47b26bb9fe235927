package viewer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// ReplaceUpstreams applies a full list at the given revision. Upstreams that expired during a store outage are kept
// for expiredRetention, and so are those that a restored store lacks.
func (v *Viewer) ReplaceUpstreams(upstreams []eelgrassbeam.Upstream, revision eelgrassbeam.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.view.Load().UpstreamsRevision
	if revision < known {
		return
	}
	isRestored := isLaterEra(revision, known)
	if isRestored {
		v.lastOutageAt = v.config.Clock.Now()
	}
	listed := make(map[eelgrassbeam.UpstreamID]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		if isRestored && v.wasRemoved(upstream) {
			v.hold(upstream)
			continue
		}
		v.upsert(upstream)
	}
	for id := range v.upstreams {
		if listed[id] {
			continue
		}
		marker := tombstone{deletedRevision: revision, observedRevision: revision}
		if !isRestored {
			marker.started = v.upstreams[id].upstream.Started
		}
		v.drop(id, marker)
		if isRestored {
			v.markLost(id)
		}
	}
	if !v.isSynced || revision > known { // a list doesn't tell what was registered and removed since the known revision
		v.isSynced, v.tombstonesSince = true, revision
	}
	v.publishUpstreams(revision)
}

// ApplyUpstreams applies changes in order and then advances the view to the given revision. Changes up to the known
// revision, which peers may have brought, and those of an era of the store that has ended are ignored.
func (v *Viewer) ApplyUpstreams(changes []UpstreamChange, revision eelgrassbeam.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision > v.view.Load().UpstreamsRevision {
		v.apply(changes, revision)
	}
}

// apply must be called with v.mu held.
func (v *Viewer) apply(changes []UpstreamChange, revision eelgrassbeam.Revision) {
	lastRegistered := make(map[eelgrassbeam.UpstreamID]int, len(changes)) // indexes of changes
	for i, change := range changes {
		if change.Removed == "" {
			lastRegistered[change.Upstream.ID] = i
		}
	}
	for i, change := range changes {
		if change.Removed == "" {
			v.upsert(change.Upstream)
			continue
		}
		deleted := revision
		if lastRegistered[change.Removed] > i { // a peer may have brought the registration that follows
			deleted = change.Revision
		}
		current, isKnown := v.upstreams[change.Removed]
		if current.upstream.Revision > deleted {
			continue
		}
		if isKnown {
			current.isLost = false
			v.upstreams[change.Removed] = current
		}
		v.drop(change.Removed, tombstone{deletedRevision: deleted, observedRevision: revision, started: current.upstream.Started})
	}
	v.publishUpstreams(revision)
}

// upsert stores the registration unless the upstream was removed since or a later registration, by start time and then
// by sequence number, is known. The caller must hold v.mu.
func (v *Viewer) upsert(upstream eelgrassbeam.Upstream) {
	if v.treatsLeavingAsLive {
		upstream.State = eelgrassbeam.InstanceLive
	}
	if upstream.Revision <= v.tombstones[upstream.ID].deletedRevision {
		return
	}
	current, ok := v.upstreams[upstream.ID]
	if ok && current.isHeld() && upstream.Revision == current.upstream.Revision {
		return // not written again since the restoration
	}
	if ok && isOlder(upstream, current.upstream) {
		v.config.Log.WithFields(logrus.Fields{
			"event": "upstream_report_stale", "upstream": upstream.ID, "sequence": upstream.Sequence, "known_sequence": current.upstream.Sequence,
		}).Info("")
		current.removeAt, current.isLost = time.Time{}, false // the upstream is still registered
		current.upstream.Revision = max(current.upstream.Revision, upstream.Revision)
		v.upstreams[upstream.ID] = current
		return
	}
	// The same registration again: keep a longer cold time, which markZoneCold may have set.
	if ok && isSame(upstream, current.upstream) && current.upstream.ColdUntil.After(upstream.ColdUntil) {
		upstream.ColdUntil = current.upstream.ColdUntil
	}
	if !ok || current.upstream.State != upstream.State || current.upstream.Started != upstream.Started {
		v.config.Log.WithFields(logrus.Fields{
			"event": "upstream_known", "upstream": upstream.ID, "service": upstream.Service, "zone": upstream.Zone, "state": upstream.State,
			"address": upstream.Address, "started": upstream.Started, "revision": upstream.Revision, "cold_until": upstream.ColdUntil.Format("15:04:05.000"),
		}).Info("")
	}
	v.upstreams[upstream.ID] = trackedUpstream{upstream: upstream}
}

// isSame reports whether both are the same registration. A restored store may list it with another revision.
func isSame(registration, current eelgrassbeam.Upstream) bool {
	return registration.Started == current.Started &&
		(registration.Revision == current.Revision || registration.Sequence == current.Sequence)
}

func isOlder(registration, current eelgrassbeam.Upstream) bool {
	if registration.Started != current.Started {
		return registration.Started < current.Started
	}
	return registration.Sequence < current.Sequence
}

// drop removes the upstream. One that may have expired only because of a store outage is kept for expiredRetention.
// The caller must hold v.mu.
func (v *Viewer) drop(id eelgrassbeam.UpstreamID, marker tombstone) {
	v.recordTombstone(id, marker) // also of an unknown upstream, which a peer may know
	current, ok := v.upstreams[id]
	if !ok {
		return
	}
	if current.isHeld() {
		delete(v.upstreams, id)
		return
	}
	if current.isLost {
		return // its retention goes on
	}
	now := v.config.Clock.Now()
	retainUntil := v.lastOutageAt.Add(expiredRetention)
	if current.upstream.State == eelgrassbeam.InstanceLive && !v.lastOutageAt.IsZero() && now.Before(retainUntil) {
		if current.removeAt.IsZero() {
			current.removeAt = retainUntil
			v.upstreams[id] = current
		}
		return
	}
	delete(v.upstreams, id)
	v.config.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id, "service": current.upstream.Service}).Info("")
}

// recordTombstone must be called with v.mu held.
func (v *Viewer) recordTombstone(id eelgrassbeam.UpstreamID, marker tombstone) {
	if len(v.tombstones) >= maxTombstones {
		clear(v.tombstones)
		v.tombstonesSince = marker.observedRevision
	}
	previous := v.tombstones[id]
	v.tombstones[id] = tombstone{
		deletedRevision:  max(previous.deletedRevision, marker.deletedRevision),
		observedRevision: max(previous.observedRevision, marker.observedRevision),
		started:          max(previous.started, marker.started),
	}
}
