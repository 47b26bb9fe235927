package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	compareInterval = time.Second
	// bootstrapInterval replaces compareInterval until a configuration is in force on this entry.
	bootstrapInterval = 200 * time.Millisecond
	// Every crossZoneRounds-th comparison is with an entry outside the zone, alternately in another region and in
	// another zone of this region.
	crossZoneRounds = 3
	// repairDelayMin and repairDelayMax bound the random delay before missing state is pulled, which gives a broadcast
	// tree time to deliver it.
	repairDelayMin = 300 * time.Millisecond
	repairDelayMax = 800 * time.Millisecond
)

// repairRequest asks for a pull from a peer whose state was found to be newer or different.
type repairRequest struct {
	peer   eelgrassbeam.Entry
	remote stateSummary
}

// compareLoop runs anti-entropy: at each interval it compares summaries with one peer and repairs differences.
func (r *Relayer) compareLoop(ctx context.Context) {
	lastFailed := false
	for round := uint64(0); ctx.Err() == nil; round++ {
		if peer, ok := r.comparePeer(round, lastFailed); ok {
			lastFailed = r.compareWith(ctx, peer) != nil
		}
		interval := compareInterval
		if !r.Ready() {
			interval = bootstrapInterval
		}
		r.sleep(ctx, interval)
	}
}

// comparePeer returns the peer to compare with: the successor in the zone's ring or, every third round, an entry
// outside the zone. The choice is stable while the fleet view is unchanged, since a new connection costs more than a
// comparison. After a failure, or before the first configuration, another peer is chosen each round.
func (r *Relayer) comparePeer(round uint64, lastFailed bool) (eelgrassbeam.Entry, bool) {
	self := r.config.Self
	rotate := lastFailed || !r.Ready()
	key := "compare/" + string(self.ID)
	if rotate {
		key = fmt.Sprintf("%s/%d", key, round)
	}
	ring := assigner.SortByScore("compare", r.zoneMembers(self.Zone))
	i := slices.IndexFunc(ring, func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	others := slices.DeleteFunc(slices.Clone(ring), func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	if len(others) == 0 || round%crossZoneRounds == crossZoneRounds-1 {
		if entry, ok := assigner.HighestScoring(key, r.entriesOutsideZone(round/crossZoneRounds%2 == 0)); ok {
			return entry, true
		}
	}
	if i < 0 || rotate {
		return assigner.HighestScoring(key, others)
	}
	return ring[(i+1)%len(ring)], len(others) > 0
}

// entriesOutsideZone returns the live entries of other regions or those of other zones of this region, as preferred.
// If the preferred set is empty, it returns the other one.
func (r *Relayer) entriesOutsideZone(preferOtherRegions bool) []eelgrassbeam.Entry {
	self, fleet := r.config.Self, r.config.Fleet.Fleet()
	otherRegions := assigner.LiveEntries(fleet, func(e eelgrassbeam.Entry) bool { return e.Region != self.Region })
	otherZones := assigner.LiveEntries(fleet, func(e eelgrassbeam.Entry) bool { return e.Region == self.Region && e.Zone != self.Zone })
	if preferOtherRegions && len(otherRegions) > 0 || len(otherZones) == 0 {
		return otherRegions
	}
	return otherZones
}

func (r *Relayer) compareWith(ctx context.Context, peer eelgrassbeam.Entry) error {
	local := r.summary()
	remote, err := call[stateSummary](ctx, r, peer, methodCompare, &local)
	r.metrics.comparisons.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		return err
	}
	if !r.Ready() {
		r.catchUp(ctx, peer, *remote)
		return nil
	}
	r.requestRepair(peer, *remote)
	return nil
}

// handleCompare returns the local summary and schedules a repair if the sender's state is newer or different.
func (r *Relayer) handleCompare(_ context.Context, remote *stateSummary) (*stateSummary, error) {
	local := r.summary()
	if sender, ok := r.config.Fleet.Fleet().Entry(remote.From); ok {
		r.requestRepair(sender, *remote)
	}
	return &local, nil
}

// requestRepair queues a repair if this entry may lack the peer's configuration or its membership differs. The queue holds one
// request; a difference whose request is dropped shows up again in the next comparison.
func (r *Relayer) requestRepair(peer eelgrassbeam.Entry, remote stateSummary) {
	local := r.summary()
	if !r.mayLack(remote.InForce) && remote.Members == local.Members {
		return
	}
	select {
	case r.repairRequests <- repairRequest{peer: peer, remote: remote}:
	default:
	}
}

// repairLoop handles repair requests: after a random delay it pulls what no tree has delivered in the meantime.
func (r *Relayer) repairLoop(ctx context.Context) {
	for {
		select {
		case request := <-r.repairRequests:
			if r.sleep(ctx, repairDelayMin+rand.N(repairDelayMax-repairDelayMin)) {
				r.catchUp(ctx, request.peer, request.remote)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) summary() stateSummary {
	local := stateSummary{From: r.config.Self.ID, InForce: r.inForce()}
	if r.config.Members != nil {
		local.Members = r.config.Members.Digest()
	}
	return local
}

// inForce returns the identity of the configuration in force on this entry, zero if there is none.
func (r *Relayer) inForce() eelgrassbeam.ConfigurationID {
	current, ok := r.config.ConfigHolder.Configuration()
	if !ok {
		return eelgrassbeam.ConfigurationID{}
	}
	return current.ID()
}

// mayLack reports whether the configuration of a peer may supersede the one in force here. While a restored store's
// entries have configurations of two eras, the peer may know that it doesn't.
func (r *Relayer) mayLack(remote eelgrassbeam.ConfigurationID) bool {
	current, ok := r.config.ConfigHolder.Configuration()
	switch {
	case !ok:
		return remote.Revision > 0
	case current.Change.ID == remote.Change || current.Era == remote.Revision.Era():
		return remote.Revision > current.Revision()
	default:
		return remote.Revision > 0 && !current.Includes(remote)
	}
}

// catchUp pulls newer or different state from the peer. It also spreads a pulled configuration in the zone, whose
// other entries may lack it too. It does not spread the first configuration on this entry, since that one only catches
// up after a start.
func (r *Relayer) catchUp(ctx context.Context, peer eelgrassbeam.Entry, remote stateSummary) {
	local := r.summary()
	if r.mayLack(remote.InForce) {
		r.metrics.repairs.WithLabelValues("configuration").Inc()
		_ = r.pull(ctx, peer)
	}
	base := local.InForce.Revision
	if revision, _ := r.config.ConfigHolder.InForce(); base > 0 && revision != base {
		r.enqueue(func(ctx context.Context) { r.spreadConfiguration(ctx, base, revision) })
	}
	if r.config.Members != nil && (remote.Members.Roster != local.Members.Roster || remote.Members.States != local.Members.States) {
		r.metrics.repairs.WithLabelValues("members").Inc()
		_ = r.config.Members.Pull(ctx, peer.PeerAddress)
	}
}
