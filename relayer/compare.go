package relayer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

const (
	compareInterval = time.Second
	startInterval   = 200 * time.Millisecond
	// foreignRounds is how many comparisons it takes until one goes to another zone.
	foreignRounds = 3
)

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
	foreign := assigner.Live(r.config.Fleet.Fleet(), func(e eelgrassbeam.Entry) bool { return e.Zone != self.Zone })
	ring := assigner.Rank("compare", r.zoneMembers(self.Zone))
	i := slices.IndexFunc(ring, func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	others := slices.DeleteFunc(slices.Clone(ring), func(e eelgrassbeam.Entry) bool { return e.ID == self.ID })
	switch {
	case len(others) == 0 || round%foreignRounds == foreignRounds-1 && len(foreign) > 0:
		return assigner.First(key, foreign)
	case i < 0 || isAny:
		return assigner.First(key, others)
	default:
		return ring[(i+1)%len(ring)], true
	}
}

func (r *Relayer) compareWith(ctx context.Context, to eelgrassbeam.Entry) error {
	ours := r.comparison()
	theirs, err := call[comparison](ctx, r, to, methodCompare, &ours)
	r.metrics.comparisons.WithLabelValues(resultOf(err)).Inc()
	if err != nil {
		return err
	}
	r.catchUp(ctx, to, *theirs)
	return nil
}

// compared answers a comparison; what the caller has more of is pulled from it later.
func (r *Relayer) compared(_ context.Context, theirs *comparison) (*comparison, error) {
	ours := r.comparison()
	caller, ok := r.config.Fleet.Fleet().Entry(theirs.From)
	if ok && (theirs.Version > ours.Version || theirs.Members != ours.Members) {
		r.enqueue(func(ctx context.Context) { r.catchUp(ctx, caller, *theirs) })
	}
	return &ours, nil
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
	if r.config.Members != nil && (theirs.Members.Roster != ours.Members.Roster || theirs.Members.States != ours.Members.States) {
		r.metrics.repairs.WithLabelValues("members").Inc()
		_ = r.config.Members.Pull(ctx, from.PeerAddress)
	}
}
