package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/logger"
	"github.com/eelgrassbeam/eelgrassbeam/upstream"
)

const (
	// probePollInterval is the time between checks for upstreams whose probe is due.
	probePollInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of one probe, including the health check that replaces a missing load report.
	probeTimeout = time.Second
	// probeWorkers is the maximum number of probes in progress.
	probeWorkers = 32
	// reportMaxIntervals is the age, in probe intervals, up to which a load report is used.
	reportMaxIntervals = 3
	// deadProbeCount is the number of consecutive failed probes after which an upstream is dead, if its last exchange
	// failed too.
	deadProbeCount = 2
	// suspectProbeDelay is the maximum time from a failed exchange to the next probe.
	suspectProbeDelay = 50 * time.Millisecond
)

// probeState is the probe state of one upstream and the load that it last reported.
type probeState struct {
	load upstream.Load
	// sentAt is when the probe that returned load was sent; zero if no probe was answered.
	sentAt time.Time
	// nextProbe is when the next probe is due.
	nextProbe time.Time
	probing   bool
	// failures counts consecutive failed probes.
	failures int
	// suspect means that the last exchange got no answer.
	suspect bool
}

// isDead reports whether the upstream answers neither requests nor probes.
func (r *probeState) isDead() bool { return r.suspect && r.failures >= deadProbeCount }

// probeStates holds the probe state and the last load report of each upstream of the entry's sites.
type probeStates struct {
	mu         sync.Mutex
	byUpstream map[eelgrassbeam.UpstreamID]*probeState
}

func newProbeStates() *probeStates {
	return &probeStates{byUpstream: make(map[eelgrassbeam.UpstreamID]*probeState)}
}

// beginProbe marks the upstream as being probed if its probe is due; otherwise it returns false.
func (r *probeStates) beginProbe(id eelgrassbeam.UpstreamID, interval time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.byUpstream[id]
	if !ok {
		state = &probeState{}
		r.byUpstream[id] = state
	}
	if state.probing || now.Before(state.nextProbe) {
		return false
	}
	state.probing, state.nextProbe = true, now.Add(interval)
	return true
}

// endProbe records the result of a probe that was sent at sentAt. After a failed probe the previous report stays until
// it is too old. A successful probe replaces the report and resets failures and suspect.
func (r *probeStates) endProbe(id eelgrassbeam.UpstreamID, load upstream.Load, sentAt time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.byUpstream[id]
	if !ok {
		return
	}
	state.probing = false
	if err != nil {
		state.failures++
		return
	}
	state.load, state.sentAt, state.failures, state.suspect = load, sentAt, 0, false
}

// recordExchange records whether the upstream answered a request. If it did not, the next probe is brought forward.
func (r *probeStates) recordExchange(id eelgrassbeam.UpstreamID, answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.byUpstream[id]
	if !ok {
		return
	}
	state.suspect = !answered
	if soon := now.Add(suspectProbeDelay); !answered && state.nextProbe.After(soon) && state.failures < deadProbeCount {
		state.nextProbe = soon
	}
}

// isDead reports whether the upstream answers neither requests nor probes.
func (r *probeStates) isDead(id eelgrassbeam.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.byUpstream[id]
	return ok && state.isDead()
}

// usedShare returns the share of its slots that the upstream reported as in use; false without a recent report.
func (r *probeStates) usedShare(id eelgrassbeam.UpstreamID, interval time.Duration, now time.Time) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.byUpstream[id]
	if !ok || state.sentAt.IsZero() || state.load.Slots == 0 || now.Sub(state.sentAt) > reportMaxIntervals*interval {
		return 0, false
	}
	return float64(state.load.InProgress) / float64(state.load.Slots), true
}

// retain removes the upstreams that are not in ids, except those being probed.
func (r *probeStates) retain(ids map[eelgrassbeam.UpstreamID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, last := range r.byUpstream {
		if !ids[id] && !last.probing {
			delete(r.byUpstream, id)
		}
	}
}

// probeLoop probes the upstreams of the entry's sites at their services' probe intervals until the context ends.
func (d *Dispatcher) probeLoop(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(probeWorkers)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-d.config.Clock.After(probePollInterval):
		}
		d.probeDue(ctx, group)
	}
}

func (d *Dispatcher) probeDue(ctx context.Context, group *errgroup.Group) {
	configuration, ok := d.config.Configuration.Configuration()
	if !ok {
		return
	}
	now, ids := d.config.Clock.Now(), make(map[eelgrassbeam.UpstreamID]bool)
	for _, u := range d.config.Fleet.Fleet().Upstreams {
		if _, owned := d.site(eelgrassbeam.Site{Service: u.Service, Zone: u.Zone}); !owned {
			continue
		}
		ids[u.ID] = true
		service, _ := configuration.Defaults.Service(u.Service)
		if interval := service.ProbeInterval.Duration; interval > 0 && d.probes.beginProbe(u.ID, interval, now) {
			group.Go(func() error {
				d.probeOne(ctx, u)
				return nil
			})
		}
	}
	d.probes.retain(ids)
}

func (d *Dispatcher) probeOne(ctx context.Context, u eelgrassbeam.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := d.config.Clock.Now()
	load, err := d.queryLoad(ctx, u)
	wasDead := d.probes.isDead(u.ID)
	d.probes.endProbe(u.ID, load, sentAt, err)
	if isDead := d.probes.isDead(u.ID); isDead != wasDead {
		d.handleDeadChange(u.ID, isDead)
	}
	if load.Leaving || errors.Is(err, upstream.ErrLeaving) {
		d.markLeaving(u.ID)
	} else if err == nil {
		d.unmarkLeaving(u.ID, sentAt)
	}
}

// queryLoad returns the upstream's load report. An upstream without one gets a health check instead; its load is then
// zero.
func (d *Dispatcher) queryLoad(ctx context.Context, u eelgrassbeam.Upstream) (upstream.Load, error) {
	limits := d.limits(u.Service)
	load, err := d.config.Upstreams.Load(ctx, u, limits)
	if err == nil || errors.Is(err, upstream.ErrLeaving) || ctx.Err() != nil {
		return load, err
	}
	return upstream.Load{}, d.config.Upstreams.Probe(ctx, u, limits)
}

// handleDeadChange logs that an upstream became dead or answers again, and reconciles the sites.
func (d *Dispatcher) handleDeadChange(id eelgrassbeam.UpstreamID, isDead bool) {
	reason := "answers again"
	if isDead {
		reason = "answers neither requests nor probes"
	}
	d.config.Decisions.Record(logger.Decision{
		Kind: logger.KindMembership, Choice: string(id), Reason: reason, Versions: d.versions(),
	})
	d.reconcile()
}
