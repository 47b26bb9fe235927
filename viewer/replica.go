package viewer

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/gossiper"
)

// sourcePeer is the logged source of state received from a peer.
const sourcePeer = "peer"

var _ gossiper.Replica = (*Viewer)(nil)

// Revisions implements gossiper.Replica.
func (v *Viewer) Revisions() gossiper.Revisions {
	revisions := revisionsOf(v.view.Load())
	revisions.ConfirmedAge = v.sharedAge()
	return revisions
}

func revisionsOf(view *eelgrassbeam.View) gossiper.Revisions {
	revisions := gossiper.Revisions{Upstreams: view.UpstreamsRevision, Evacuated: view.EvacuatedRevision}
	if view.Routing != nil {
		revisions.RoutingVersion = view.Routing.Version
	}
	return revisions
}

// State implements gossiper.Replica.
func (v *Viewer) State(since gossiper.Revisions) gossiper.State {
	age := v.sharedAge()
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	state := gossiper.State{Revisions: revisionsOf(view)}
	state.Revisions.ConfirmedAge = age
	if state.Revisions.RoutingVersion > since.RoutingVersion {
		state.Routing, state.RoutingRevision = v.routingValue, view.RoutingRevision
	}
	// A receiver that has restarted since would take a part without content for an empty one.
	if view.UpstreamsRevision > since.Upstreams {
		v.addUpstreams(&state, since.Upstreams)
	} else {
		state.Revisions.Upstreams = 0
	}
	if view.EvacuatedRevision > since.Evacuated {
		v.addEvacuations(&state)
	} else {
		state.Revisions.Evacuated = 0
	}
	return state
}

// addUpstreams adds the changes after the given revision, or all upstreams if this entry's history doesn't reach back
// that far. The caller must hold v.mu.
func (v *Viewer) addUpstreams(state *gossiper.State, since eelgrassbeam.Revision) {
	now := v.config.Clock.Now()
	state.IsDelta, state.Since = since >= v.tombstonesSince && v.tombstonesSince > 0, since
	for _, tracked := range v.upstreams {
		upstream, isExpired := tracked.upstream, !tracked.removeAt.IsZero() // no longer in the store
		if isExpired || state.IsDelta && upstream.Revision <= since {
			continue
		}
		state.Upstreams = append(state.Upstreams, upstream)
		state.ColdFor = append(state.ColdFor, max(0, upstream.ColdUntil.Sub(now)))
	}
	if !state.IsDelta {
		return
	}
	for id, removal := range v.tombstones {
		tracked, isKnown := v.upstreams[id]
		// The receiver has what is registered up to since; a later registration replaces the removed one.
		isReceived := isKnown && tracked.removeAt.IsZero() && tracked.upstream.Revision <= since
		if removal.observedRevision > since && !isReceived {
			state.Removed = append(state.Removed, id)
		}
	}
}

// Merge implements gossiper.Replica.
func (v *Viewer) Merge(state gossiper.State) {
	local := v.Revisions()
	if len(state.Routing) > 0 && state.Revisions.RoutingVersion > local.RoutingVersion {
		v.UpdateRouting(state.Routing, state.RoutingRevision, sourcePeer)
	}
	if state.Revisions.ConfirmedAge > 0 {
		v.ConfirmRouting(state.Revisions.RoutingVersion, state.Revisions.ConfirmedAge)
	}
	if state.Revisions.Upstreams > local.Upstreams && len(state.ColdFor) == len(state.Upstreams) {
		v.mergeUpstreams(state)
	}
	if state.Revisions.Evacuated > local.Evacuated {
		v.setEvacuated(state.Evacuated, state.Revisions.Evacuated, state.RetainedFor)
	}
}

func (v *Viewer) mergeUpstreams(state gossiper.State) {
	now := v.config.Clock.Now()
	for i, remaining := range state.ColdFor {
		state.Upstreams[i].ColdUntil = time.Time{}
		if remaining > 0 {
			state.Upstreams[i].ColdUntil = now.Add(remaining)
		}
	}
	if !state.IsDelta {
		v.ReplaceUpstreams(state.Upstreams, state.Revisions.Upstreams)
		return
	}
	changes := make([]UpstreamChange, 0, len(state.Removed)+len(state.Upstreams))
	for _, id := range state.Removed {
		// State has no revision per removal; each is later than Since.
		changes = append(changes, UpstreamChange{Removed: id, Revision: state.Since})
	}
	for _, upstream := range state.Upstreams {
		changes = append(changes, UpstreamChange{Upstream: upstream})
	}
	v.applyDelta(changes, state.Since, state.Revisions.Upstreams)
}

// applyDelta applies the changes if this entry has reached the revision they start from, but not the one they lead to.
// Otherwise it ignores them, and missing state is pulled later.
func (v *Viewer) applyDelta(changes []UpstreamChange, since, revision eelgrassbeam.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.view.Load().UpstreamsRevision; v.isSynced && known >= since && known < revision {
		v.apply(changes, revision)
	}
}
