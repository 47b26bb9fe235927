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
	// probeTick is the time between looks for upstreams whose probe is due.
	probeTick = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probeWorkers bounds probes in progress.
	probeWorkers = 32
	// reportLife is how many probe intervals a load report counts.
	reportLife = 3
	// deadProbes is the number of failed probes in a row, after a failed exchange, from which an upstream is dead.
	deadProbes = 2
	// suspectProbe is the time from a failed exchange to the next probe.
	suspectProbe = 50 * time.Millisecond
)

// report is what an upstream said of its load.
type report struct {
	load upstream.Load
	// at is when it was asked; zero where it never answered.
	at time.Time
	// due is when it is asked next.
	due  time.Time
	busy bool
	// failures counts failed probes in a row.
	failures int
	// suspect tells that the last exchange got no answer.
	suspect bool
}

// isDead tells whether neither requests nor probes get an answer.
func (r *report) isDead() bool { return r.suspect && r.failures >= deadProbes }

// reports hold the load that each upstream of the entry's sites last told.
type reports struct {
	mu   sync.Mutex
	last map[eelgrassbeam.UpstreamID]*report
}

func newReports() *reports {
	return &reports{last: make(map[eelgrassbeam.UpstreamID]*report)}
}

// take marks the upstream as being asked if its probe is due.
func (r *reports) take(id eelgrassbeam.UpstreamID, interval time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.last[id]
	if !ok {
		known = &report{}
		r.last[id] = known
	}
	if known.busy || now.Before(known.due) {
		return false
	}
	known.busy, known.due = true, now.Add(interval)
	return true
}

// put ends a probe; a failed one leaves the earlier report to age, a good one ends all doubt.
func (r *reports) put(id eelgrassbeam.UpstreamID, load upstream.Load, asked time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.last[id]
	if !ok {
		return
	}
	known.busy = false
	if err != nil {
		known.failures++
		return
	}
	known.load, known.at, known.failures, known.suspect = load, asked, 0, false
}

// exchanged notes whether the upstream answered a request; one that did not is probed soon.
func (r *reports) exchanged(id eelgrassbeam.UpstreamID, answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.last[id]
	if !ok {
		return
	}
	known.suspect = !answered
	if soon := now.Add(suspectProbe); !answered && known.due.After(soon) && known.failures < deadProbes {
		known.due = soon
	}
}

// isDead tells whether neither requests nor probes get an answer from the upstream.
func (r *reports) isDead(id eelgrassbeam.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.last[id]
	return ok && known.isDead()
}

// share returns the share of its slots that the upstream reported in use; false without a fresh report.
func (r *reports) share(id eelgrassbeam.UpstreamID, interval time.Duration, now time.Time) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.last[id]
	if !ok || known.at.IsZero() || known.load.Slots == 0 || now.Sub(known.at) > reportLife*interval {
		return 0, false
	}
	return float64(known.load.InProgress) / float64(known.load.Slots), true
}

// keep forgets all other upstreams.
func (r *reports) keep(ids map[eelgrassbeam.UpstreamID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.last {
		if !ids[id] && !known.busy {
			delete(r.last, id)
		}
	}
}

// probe asks the upstreams of the entry's sites for their load until the context ends.
func (d *Dispatcher) probe(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(probeWorkers)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-d.config.Clock.After(probeTick):
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
		if interval := service.ProbeInterval.Duration; interval > 0 && d.reports.take(u.ID, interval, now) {
			group.Go(func() error {
				d.probeOne(ctx, u)
				return nil
			})
		}
	}
	d.reports.keep(ids)
}

func (d *Dispatcher) probeOne(ctx context.Context, u eelgrassbeam.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := d.config.Clock.Now()
	load, err := d.ask(ctx, u)
	wasDead := d.reports.isDead(u.ID)
	d.reports.put(u.ID, load, asked, err)
	if isDead := d.reports.isDead(u.ID); isDead != wasDead {
		d.logDeath(u.ID, isDead)
	}
	if load.Leaving || errors.Is(err, upstream.ErrLeaving) {
		d.markLeaving(u.ID)
	} else if err == nil {
		d.unmarkLeaving(u.ID, asked)
	}
}

// ask returns the upstream's load report; one that gives none is asked for its health, and its load is zero.
func (d *Dispatcher) ask(ctx context.Context, u eelgrassbeam.Upstream) (upstream.Load, error) {
	limits := d.limits(u.Service)
	load, err := d.config.Upstreams.Load(ctx, u, limits)
	if err == nil || errors.Is(err, upstream.ErrLeaving) || ctx.Err() != nil {
		return load, err
	}
	return upstream.Load{}, d.config.Upstreams.Probe(ctx, u, limits)
}

// logDeath logs that an upstream was taken for dead or came back, and puts it in force.
func (d *Dispatcher) logDeath(id eelgrassbeam.UpstreamID, isDead bool) {
	reason := "answers again"
	if isDead {
		reason = "answers neither requests nor probes"
	}
	d.config.Decisions.Record(logger.Decision{
		Kind: logger.KindMembership, Choice: string(id), Reason: reason, Versions: d.versions(),
	})
	d.reconcile()
}
