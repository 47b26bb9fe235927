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
	startInterval   = 200 * time.Millisecond
	// foreignRounds is how many comparisons it takes until one goes to another zone, by turns of the region and beyond.
	foreignRounds = 3
	// graceMin and graceMax bound how long an entry that lacks news waits for a tree to bring them.
	graceMin = 300 * time.Millisecond
	graceMax = 800 * time.Millisecond
)

// lack is what a comparison has shown a peer to have more of.
type lack struct {
	from   eelgrassbeam.Entry
	theirs comparison
}

// compare compares what it holds with one peer at each interval, and takes over what it lacks.
func (r *Relayer) compare(ctx context.Context) {
	hasFailed := false
	for round := uint64(0); ctx.Err() == nil; round++ {
		if to, ok := r.partner(round, hasFailed); ok {
			hasFailed = r.compareWith(ctx, to) != nil
		}
		interval := compareInterval
		if !r.Ready() {
			interval = startInterval
		}
		r.pause(ctx, interval)
	}
}

// partner returns the successor on the zone's ring, and at each third round an entry of another zone, the same as
// long as the view stays, since a new connection costs more than a comparison. After a failure, or without a
// configuration, it is another one each time.
func (r *Relayer) partner(round uint64, hasFailed bool) (eelgrassbeam.Entry, bool) {
	self := r.config.Self
	isAny := hasFailed || !r.Ready()
	key := "compare/" + string(self.ID)
	if isAny {
		key = fmt.Sprintf("%s/%d", key, round)
	}
	ring := assigner.Rank("compare", r.zoneMembers(self.Zone))
	i := slices.IndexFunc(ring, func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	others := slices.DeleteFunc(slices.Clone(ring), func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	if len(others) == 0 || round%foreignRounds == foreignRounds-1 {
		if to, ok := assigner.First(key, r.foreign(round/foreignRounds%2 == 0)); ok {
			return to, true
		}
	}
	if i < 0 || isAny {
		return assigner.First(key, others)
	}
	return ring[(i+1)%len(ring)], len(others) > 0
}

// foreign returns the live entries of other regions, or those of other zones of the region; the other kind where there are none.
func (r *Relayer) foreign(isBeyond bool) []eelgrassbeam.Entry {
	self, fleet := r.config.Self, r.config.Fleet.Fleet()
	beyond := assigner.Live(fleet, func(e eelgrassbeam.Entry) bool { return e.Region != self.Region })
	within := assigner.Live(fleet, func(e eelgrassbeam.Entry) bool { return e.Region == self.Region && e.Zone != self.Zone })
	if isBeyond && len(beyond) > 0 || len(within) == 0 {
		return beyond
	}
	return within
}

func (r *Relayer) compareWith(ctx context.Context, to eelgrassbeam.Entry) error {
	ours := r.comparison()
	theirs, err := call[comparison](ctx, r, to, methodCompare, &ours)
	r.metrics.comparisons.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		return err
	}
	if !r.Ready() {
		r.catchUp(ctx, to, *theirs)
		return nil
	}
	r.note(to, *theirs)
	return nil
}

// compared answers a comparison; what the caller has more of is pulled from it later.
func (r *Relayer) compared(_ context.Context, theirs *comparison) (*comparison, error) {
	ours := r.comparison()
	if caller, ok := r.config.Fleet.Fleet().Entry(theirs.From); ok {
		r.note(caller, *theirs)
	}
	return &ours, nil
}

// note hands what this entry lacks to repair; one at a time is enough, since the next comparison shows it again.
func (r *Relayer) note(from eelgrassbeam.Entry, theirs comparison) {
	ours := r.comparison()
	if theirs.Version <= ours.Version && theirs.Members == ours.Members {
		return
	}
	select {
	case r.lacks <- lack{from: from, theirs: theirs}:
	default:
	}
}

// repair pulls what a tree has not brought within the time of grace, and spreads a configuration that the zone may lack too.
func (r *Relayer) repair(ctx context.Context) {
	for {
		select {
		case found := <-r.lacks:
			if r.pause(ctx, graceMin+rand.N(graceMax-graceMin)) {
				r.catchUp(ctx, found.from, found.theirs)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) comparison() comparison {
	version, _ := r.config.Holder.InForce()
	ours := comparison{From: r.config.Self.ID, Version: version}
	if r.config.Members != nil {
		ours.Members = r.config.Members.Digest()
	}
	return ours
}

// catchUp pulls from the peer what it has more of.
func (r *Relayer) catchUp(ctx context.Context, from eelgrassbeam.Entry, theirs comparison) {
	ours := r.comparison()
	if theirs.Version > ours.Version {
		r.metrics.repairs.WithLabelValues("configuration").Inc()
		_ = r.pull(ctx, from)
	}
	if version, _ := r.config.Holder.InForce(); ours.Version > 0 && version > ours.Version {
		r.enqueue(func(ctx context.Context) { r.spreadConfiguration(ctx, ours.Version, version) })
	}
	if r.config.Members != nil && (theirs.Members.Roster != ours.Members.Roster || theirs.Members.States != ours.Members.States) {
		r.metrics.repairs.WithLabelValues("members").Inc()
		_ = r.config.Members.Pull(ctx, from.PeerAddress)
	}
}
