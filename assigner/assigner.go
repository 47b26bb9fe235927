package assigner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// DefaultSettle is the term and margin of the monitor's defaults.
	DefaultSettle = 2500 * time.Millisecond

	stepInterval    = 100 * time.Millisecond
	handoverTimeout = 500 * time.Millisecond
)

// Terms tells whether this entry may act; monitor.Monitor implements it.
type Terms interface {
	// HoldsTerm tells whether this entry may act at the given time of its own clock.
	HoldsTerm(now time.Time) bool
	// HeldSince returns since when the term is held without a gap.
	HeldSince() time.Time
}

// Config configures an Assigner.
type Config struct {
	Self  eelgrassbeam.Entry
	Fleet eelgrassbeam.FleetSource
	Terms Terms
	Pool  *peer.Pool
	Clock eelgrassbeam.Clock
	// InProgress returns the number of the site's exchanges that this entry has admitted; nil for none. An exchange
	// must be counted before MayDispatch is asked.
	InProgress func(eelgrassbeam.Site) int
	// Settle is after how long an earlier dispatcher's term has surely run out: the term and its margin; the default where zero.
	Settle     time.Duration
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Assigner decides who dispatches to each site.
type Assigner struct {
	config  Config
	metrics metrics
	owners  atomic.Pointer[ownerTable]

	// mu guards what follows; no call to a peer is made under it.
	mu    sync.Mutex
	last  *eelgrassbeam.Fleet
	sites map[eelgrassbeam.Site]*tenure

	// skipsSettle lets a new owner begin at once; tests only.
	skipsSettle bool
}

// New returns an assigner that knows no site yet.
func New(config Config) *Assigner {
	if config.Settle == 0 {
		config.Settle = DefaultSettle
	}
	if config.InProgress == nil {
		config.InProgress = func(eelgrassbeam.Site) int { return 0 }
	}
	return &Assigner{
		config: config, metrics: newMetrics(config.Registerer),
		last: &eelgrassbeam.Fleet{}, sites: make(map[eelgrassbeam.Site]*tenure),
	}
}

// Owner returns the site's dispatcher in the view; false where neither its zone nor its region has a live entry.
func (a *Assigner) Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	table := a.owners.Load()
	if table == nil || table.fleet != fleet {
		table = newOwnerTable(fleet)
		a.owners.Store(table)
	}
	return table.owner(site)
}

// MayDispatch tells whether this entry may dispatch to the site at the given time, and since when; slow start counts
// from there. It is asked before each exchange.
func (a *Assigner) MayDispatch(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) (since time.Time, ok bool) {
	if owner, found := a.Owner(fleet, site); !found || owner.ID != a.config.Self.ID {
		return time.Time{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observe(fleet, now)
	return a.entitled(a.tenure(fleet, site, now), now)
}

// entitled tells whether the tenure lets this entry dispatch; the caller holds the mutex.
func (a *Assigner) entitled(t *tenure, now time.Time) (since time.Time, ok bool) {
	if t.owner != a.config.Self.ID || !a.config.Terms.HoldsTerm(now) {
		return time.Time{}, false
	}
	since = t.ready(a.config.Terms.HeldSince(), a.settle())
	return since, !now.Before(since)
}

func (a *Assigner) settle() time.Duration {
	if a.skipsSettle {
		return 0
	}
	return a.config.Settle
}

// observe takes over a newer view; the caller holds the mutex.
func (a *Assigner) observe(fleet *eelgrassbeam.Fleet, now time.Time) {
	if fleet.Revision <= a.last.Revision {
		return
	}
	listed := sitesOf(fleet)
	for site := range listed {
		a.tenure(fleet, site, now)
	}
	owned := 0
	for site, t := range a.sites {
		if !listed[site] {
			delete(a.sites, site)
			continue
		}
		a.follow(fleet, site, t, now)
		if t.owner == a.config.Self.ID {
			owned++
		}
	}
	a.last = fleet
	a.metrics.owned.Set(float64(owned))
}

// tenure returns the site's tenure, a new one where the site is new; the caller holds the mutex.
func (a *Assigner) tenure(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) *tenure {
	t, ok := a.sites[site]
	if !ok {
		owner, _ := a.Owner(fleet, site)
		t = &tenure{owner: owner.ID, waitUntil: now.Add(a.settle())}
		a.sites[site] = t
	}
	return t
}

// follow takes over a change of the site's owner; the caller holds the mutex.
func (a *Assigner) follow(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, t *tenure, now time.Time) {
	owner, _ := a.Owner(fleet, site)
	if owner.ID == t.owner {
		return
	}
	_, wasEntitled := a.entitled(t, now)
	from := t.owner
	hasFailed := a.haveTermsRunOut(fleet, from, owner)
	t.change(owner.ID, now, hasFailed, a.settle())
	if wasEntitled && owner.ID != "" {
		t.handover = &owner
	}
	if from != a.config.Self.ID && owner.ID != a.config.Self.ID {
		return
	}
	a.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "dispatcher", "fleet": fleet.Revision, "site": site.String(),
		"choice": string(owner.ID), "previous": string(from), "reason": reason(hasFailed),
	}).Info("")
}

// haveTermsRunOut tells whether the previous owner and all that may have followed it unseen have failed: no entry of the
// new owner's region is leaving or has gone from the list. The caller holds the mutex.
func (a *Assigner) haveTermsRunOut(fleet *eelgrassbeam.Fleet, previous eelgrassbeam.EntryID, owner eelgrassbeam.Entry) bool {
	if entry, ok := fleet.Entry(previous); !ok || entry.State != eelgrassbeam.InstanceFailed {
		return false
	}
	isLeaving := func(entry eelgrassbeam.Entry) bool {
		return entry.Region == owner.Region && entry.State == eelgrassbeam.InstanceLeaving
	}
	hasGone := func(entry eelgrassbeam.Entry) bool {
		_, ok := fleet.Entry(entry.ID)
		return entry.Region == owner.Region && !ok
	}
	return !slices.ContainsFunc(fleet.Entries, isLeaving) && !slices.ContainsFunc(a.last.Entries, hasGone)
}

func reason(hasFailed bool) string {
	if hasFailed {
		return "previous_failed"
	}
	return "view_changed"
}

// Run follows the views and hands sites over until the context ends.
func (a *Assigner) Run(ctx context.Context) error {
	for {
		next := a.config.Clock.After(stepInterval)
		a.step(ctx)
		select {
		case <-next:
		case <-ctx.Done():
			return nil
		}
	}
}

// Register adds the assigner's service to the server between entries.
func (a *Assigner) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, a)
}

func handoverError(site eelgrassbeam.Site, err error) error {
	return fmt.Errorf("hand over %s: %w: %w", site, eelgrassbeam.ErrUnavailable, err)
}
