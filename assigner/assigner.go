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
	// DefaultTakeoverDelay is the sum of the monitor's default term and margin.
	DefaultTakeoverDelay = 2500 * time.Millisecond

	runInterval     = 100 * time.Millisecond
	handoverTimeout = 500 * time.Millisecond
)

// Terms reports whether and since when this entry holds its term, the lease without which it may not dispatch;
// monitor.Monitor implements it.
type Terms interface {
	// HoldsTerm reports whether this entry holds its term at now, by its own clock.
	HoldsTerm(now time.Time) bool
	// HeldSince returns the time since which the term has been held without a gap.
	HeldSince() time.Time
}

// Config configures an Assigner.
type Config struct {
	Self  eelgrassbeam.Entry
	Fleet eelgrassbeam.FleetSource
	Terms Terms
	Pool  *peer.Pool
	Clock eelgrassbeam.Clock
	// InProgress returns the number of the site's exchanges that this entry has admitted; nil means none. An exchange
	// must be counted before MayDispatch is called for it.
	InProgress func(eelgrassbeam.Site) int
	// TakeoverDelay is how long a new dispatcher waits until the term of an earlier one has expired, which is the term
	// plus its margin. Zero means DefaultTakeoverDelay.
	TakeoverDelay time.Duration
	Log           logrus.FieldLogger
	Registerer    prometheus.Registerer
}

// Assigner decides which entry dispatches to each site.
type Assigner struct {
	config  Config
	metrics metrics
	owners  atomic.Pointer[ownerTable]

	// mu guards lastFleet and sites; it is not held during calls to peers.
	mu        sync.Mutex
	lastFleet *eelgrassbeam.Fleet
	sites     map[eelgrassbeam.Site]*siteState

	// takeoverDelayDisabled lets a new owner dispatch immediately; for tests only.
	takeoverDelayDisabled bool
}

// New returns an Assigner without any sites.
func New(config Config) *Assigner {
	if config.TakeoverDelay == 0 {
		config.TakeoverDelay = DefaultTakeoverDelay
	}
	if config.InProgress == nil {
		config.InProgress = func(eelgrassbeam.Site) int { return 0 }
	}
	return &Assigner{
		config: config, metrics: newMetrics(config.Registerer),
		lastFleet: &eelgrassbeam.Fleet{}, sites: make(map[eelgrassbeam.Site]*siteState),
	}
}

// Owner returns the entry that the fleet snapshot assigns to the site as its dispatcher. MayDispatch decides from when
// the owner may dispatch. Owner returns false if neither the site's zone nor its region has a live entry.
func (a *Assigner) Owner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site) (eelgrassbeam.Entry, bool) {
	table := a.owners.Load()
	if table == nil || table.fleet != fleet {
		table = newOwnerTable(fleet)
		a.owners.Store(table)
	}
	return table.owner(site)
}

// MayDispatch reports whether this entry may dispatch to the site at now, and since when; slow start is measured from
// that time. It must be called before each exchange.
func (a *Assigner) MayDispatch(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) (since time.Time, ok bool) {
	if owner, found := a.Owner(fleet, site); !found || owner.ID != a.config.Self.ID {
		return time.Time{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyFleet(fleet, now)
	return a.canDispatch(a.stateFor(fleet, site, now), now)
}

// canDispatch reports whether this entry may dispatch to the site at now, and since when. The caller must hold a.mu.
func (a *Assigner) canDispatch(state *siteState, now time.Time) (since time.Time, ok bool) {
	if state.owner != a.config.Self.ID || !a.config.Terms.HoldsTerm(now) {
		return time.Time{}, false
	}
	since = state.dispatchFrom(a.config.Terms.HeldSince(), a.takeoverDelay())
	return since, !now.Before(since)
}

func (a *Assigner) takeoverDelay() time.Duration {
	if a.takeoverDelayDisabled {
		return 0
	}
	return a.config.TakeoverDelay
}

// applyFleet updates all sites if the fleet snapshot is newer than the last one. The caller must hold a.mu.
func (a *Assigner) applyFleet(fleet *eelgrassbeam.Fleet, now time.Time) {
	if fleet.Revision <= a.lastFleet.Revision {
		return
	}
	current := sitesOf(fleet)
	for site := range current {
		a.stateFor(fleet, site, now)
	}
	owned := 0
	for site, state := range a.sites {
		if !current[site] {
			delete(a.sites, site)
			continue
		}
		a.updateOwner(fleet, site, state, now)
		if state.owner == a.config.Self.ID {
			owned++
		}
	}
	a.lastFleet = fleet
	a.metrics.ownedSites.Set(float64(owned))
}

// stateFor returns the state of the site and creates it for a new site. The caller must hold a.mu.
func (a *Assigner) stateFor(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, now time.Time) *siteState {
	state, ok := a.sites[site]
	if !ok {
		owner, _ := a.Owner(fleet, site)
		state = &siteState{owner: owner.ID, termsExpireAt: now.Add(a.takeoverDelay())}
		a.sites[site] = state
	}
	return state
}

// updateOwner applies a change of the site's owner. The caller must hold a.mu.
func (a *Assigner) updateOwner(fleet *eelgrassbeam.Fleet, site eelgrassbeam.Site, state *siteState, now time.Time) {
	owner, _ := a.Owner(fleet, site)
	if owner.ID == state.owner {
		return
	}
	_, couldDispatch := a.canDispatch(state, now)
	previous := state.owner
	termsExpired := a.haveTermsExpired(fleet, previous, owner)
	state.setOwner(owner.ID, now, termsExpired, a.takeoverDelay())
	if couldDispatch && owner.ID != "" {
		state.handoverTo = &owner
	}
	if previous != a.config.Self.ID && owner.ID != a.config.Self.ID {
		return
	}
	a.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "dispatcher", "fleet": fleet.Revision, "site": site.String(),
		"choice": string(owner.ID), "previous": string(previous), "reason": changeReason(termsExpired),
	}).Info("")
}

// haveTermsExpired reports whether no earlier owner can still hold a term. This is so if the previous owner has failed
// and no entry of the new owner's region is leaving or was removed from the list, since such an entry may have owned
// the site in the meantime without this entry having seen that. The caller must hold a.mu.
func (a *Assigner) haveTermsExpired(fleet *eelgrassbeam.Fleet, previous eelgrassbeam.EntryID, owner eelgrassbeam.Entry) bool {
	if entry, ok := fleet.Entry(previous); !ok || entry.State != eelgrassbeam.InstanceFailed {
		return false
	}
	isLeaving := func(entry eelgrassbeam.Entry) bool {
		return entry.Region == owner.Region && entry.State == eelgrassbeam.InstanceLeaving
	}
	wasRemoved := func(entry eelgrassbeam.Entry) bool {
		_, ok := fleet.Entry(entry.ID)
		return entry.Region == owner.Region && !ok
	}
	return !slices.ContainsFunc(fleet.Entries, isLeaving) && !slices.ContainsFunc(a.lastFleet.Entries, wasRemoved)
}

func changeReason(termsExpired bool) string {
	if termsExpired {
		return "previous_failed"
	}
	return "view_changed"
}

// Run applies new fleet snapshots and hands sites over until the context ends.
func (a *Assigner) Run(ctx context.Context) error {
	for {
		next := a.config.Clock.After(runInterval)
		a.runOnce(ctx)
		select {
		case <-next:
		case <-ctx.Done():
			return nil
		}
	}
}

// Register registers the assigner's gRPC service for calls from other entries.
func (a *Assigner) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, a)
}

func handoverError(site eelgrassbeam.Site, err error) error {
	return fmt.Errorf("hand over site %s: %w: %w", site, eelgrassbeam.ErrUnavailable, err)
}
