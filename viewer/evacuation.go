package viewer

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/gossiper"
)

// EvacuationChange is the begin or the end of a zone's evacuation.
type EvacuationChange struct {
	Zone    eelgrassbeam.ZoneID
	IsEnded bool
}

// SetEvacuated replaces the set of evacuated zones as of the given revision; older revisions are ignored. Zones that a
// restored store lacks stay evacuated for restoredRetention.
func (v *Viewer) SetEvacuated(zones []eelgrassbeam.ZoneID, revision eelgrassbeam.Revision) {
	v.setEvacuated(zones, revision, nil)
}

// setEvacuated is SetEvacuated with the remaining retentions of a peer, which an entry takes that has no state of this
// era yet.
func (v *Viewer) setEvacuated(zones []eelgrassbeam.ZoneID, revision eelgrassbeam.Revision, retainedFor map[eelgrassbeam.ZoneID]time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.view.Load().EvacuatedRevision
	if revision < known {
		return
	}
	now := v.config.Clock.Now()
	next := make(map[eelgrassbeam.ZoneID]time.Time, len(zones))
	isFirstOfEra := known == 0 || isLaterEra(revision, known)
	for zone, remaining := range retainedFor {
		if isFirstOfEra && remaining > 0 {
			next[zone] = now.Add(min(remaining, restoredRetention))
		}
	}
	for zone, until := range v.evacuations {
		switch {
		case isLaterEra(revision, known):
			next[zone] = now.Add(restoredRetention)
		case !until.IsZero():
			next[zone] = until
		}
	}
	for _, zone := range zones {
		next[zone] = time.Time{}
	}
	v.evacuations = next
	v.publishEvacuated(revision)
}

// ApplyEvacuations applies changes in order and then advances the view to the given revision; older revisions are
// ignored.
func (v *Viewer) ApplyEvacuations(changes []EvacuationChange, revision eelgrassbeam.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.view.Load().EvacuatedRevision {
		return
	}
	for _, change := range changes {
		if change.IsEnded {
			delete(v.evacuations, change.Zone)
			continue
		}
		v.evacuations[change.Zone] = time.Time{}
	}
	v.publishEvacuated(revision)
}

// expireEvacuations ends the evacuations whose retention is over. While the store is away, operators can't
// write them again and none ends. The caller must hold v.mu.
func (v *Viewer) expireEvacuations(isStoreAway bool) {
	before, now := len(v.evacuations), v.config.Clock.Now()
	for zone, until := range v.evacuations {
		switch {
		case until.IsZero():
		case isStoreAway && v.isOutage():
			v.evacuations[zone] = now.Add(restoredRetention)
		case !isStoreAway && !now.Before(until):
			delete(v.evacuations, zone)
		}
	}
	if len(v.evacuations) != before {
		v.publishEvacuated(v.view.Load().EvacuatedRevision)
	}
}

// addEvacuations adds the zones whose evacuations are in the store and the retentions of those that it lacks. One that
// is kept beyond its end, since the latest call failed, goes on for the time in which the store counts as away. The caller
// must hold v.mu.
func (v *Viewer) addEvacuations(state *gossiper.State) {
	now := v.config.Clock.Now()
	for zone, until := range v.evacuations {
		if until.IsZero() {
			state.Evacuated = append(state.Evacuated, zone)
			continue
		}
		remaining := until.Sub(now)
		if remaining <= 0 && v.wasStoreAway {
			remaining = outageThreshold
		}
		if remaining <= 0 {
			continue
		}
		if state.RetainedFor == nil {
			state.RetainedFor = make(map[eelgrassbeam.ZoneID]time.Duration)
		}
		state.RetainedFor[zone] = remaining
	}
	slices.Sort(state.Evacuated)
}

// publishEvacuated publishes the evacuated zones. Zones that were taken back count as cold. The caller must hold v.mu.
func (v *Viewer) publishEvacuated(revision eelgrassbeam.Revision) {
	view := v.view.Load()
	for _, zone := range view.Evacuated {
		if _, ok := v.evacuations[zone]; !ok {
			v.markZoneCold(zone)
		}
	}
	zones := slices.Sorted(maps.Keys(v.evacuations))
	if !slices.Equal(zones, view.Evacuated) {
		v.config.Log.WithFields(logrus.Fields{"event": "evacuations", "zones": zones, "revision": revision}).Info("")
	}
	v.publish(view.WithEvacuated(zones, revision))
	v.publishUpstreams(view.UpstreamsRevision)
}

// markZoneCold marks a zone's upstreams as cold, because they may have cooled down while they received no requests.
// The caller must hold v.mu.
func (v *Viewer) markZoneCold(zone eelgrassbeam.ZoneID) {
	until := v.config.Clock.Now().Add(restoredZoneColdTime)
	for id, tracked := range v.upstreams {
		if tracked.upstream.Zone == zone && tracked.upstream.ColdUntil.Before(until) {
			tracked.upstream.ColdUntil = until
			v.upstreams[id] = tracked
		}
	}
}
