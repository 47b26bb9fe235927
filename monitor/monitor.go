// Package monitor tracks which entries are live, based on the platform's eventually consistent instance list and on
// heartbeats between entries, and maintains this entry's term: a lease granted by the entries that watch it.
package monitor

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = 500 * time.Millisecond
	// DefaultTerm is how long an acknowledged heartbeat extends the term from when it was sent.
	DefaultTerm = 2 * time.Second
	// DefaultMargin covers clock drift and the time between checking the term and acting on it.
	DefaultMargin = 500 * time.Millisecond

	// recordTTL is how long an entry without heartbeats stays in the watch table.
	recordTTL = time.Minute
	// previousEpochTimeouts is the number of failure timeouts after which an expired epoch can no longer be declared
	// failed. It exceeds missingTimeouts, after which watchers suspect even an entry not known to have held its term.
	previousEpochTimeouts = 4
	// stallIntervals is the number of intervals without a check after which this process counts as stalled and resets
	// the failure timeouts.
	stallIntervals = 3
)

// Config configures a Monitor.
type Config struct {
	Self  eelgrassbeam.Entry
	Store eelgrassbeam.Store
	// Pool must be used for control calls only, since a connection is closed when a heartbeat on it times out.
	Pool       *peer.Pool
	Clock      eelgrassbeam.Clock
	Log        logrus.FieldLogger
	Registerer prometheus.Registerer
	// Seeds are the addresses of peers from which the fleet is pulled if the platform is unavailable at startup.
	Seeds []netip.AddrPort
	// Incarnation must be higher than in all earlier processes of this entry, such as the start time in ns.
	Incarnation uint64
	// Interval, Term and Margin default to DefaultInterval, DefaultTerm and DefaultMargin if zero.
	Interval, Term, Margin time.Duration
}

// Monitor implements eelgrassbeam.FleetSource and assigner.Terms.
type Monitor struct {
	config       Config
	metrics      metrics
	fleet        atomic.Pointer[eelgrassbeam.Fleet]
	heldTerm     atomic.Pointer[termInterval]
	changesReady chan struct{}

	// keepUnresponsive keeps connections open on which heartbeats time out; for tests only.
	keepUnresponsive bool
	// skipTermCheck lets this entry act after its term has expired; for tests only.
	skipTermCheck bool

	// mu guards the fields below; it is not held during calls to peers or the platform.
	mu    sync.Mutex
	term  *termState
	table *watchTable
	view  *view
	plan  *watchPlan
	// expected are the entries that this one watches according to the plan.
	expected []eelgrassbeam.EntryID
	// watchers are the entries that watch this one according to the plan.
	watchers []eelgrassbeam.EntryID
	pending  MembershipChanges
	// missing holds, for each expected entry without a record, since when its heartbeats have been missing.
	missing  map[eelgrassbeam.EntryID]time.Time
	lastTick time.Time
	leaving  bool
	listEra  listEra
	// rebuiltAt is when the fleet snapshot was last published; rebuildPending is set if the view has changed since.
	rebuiltAt      time.Time
	rebuildPending bool
}

// termInterval is the time for which the term is held.
type termInterval struct{ since, until time.Time }

// MembershipChanges contains changes of the view to be gossiped.
type MembershipChanges struct {
	States []EntryState `json:"states,omitempty"`
	Roster *RosterDelta `json:"roster,omitempty"`
}

// IsEmpty reports whether there are no changes.
func (n MembershipChanges) IsEmpty() bool { return len(n.States) == 0 && n.Roster == nil }

// New returns a monitor whose view contains only this entry.
func New(config Config) *Monitor {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.Margin == 0 {
		config.Margin = DefaultMargin
	}
	config.Self.State = eelgrassbeam.InstanceLive
	m := &Monitor{
		config: config, metrics: newMetrics(config.Registerer), changesReady: make(chan struct{}, 1),
		term:  newTermState(config.Incarnation, config.Term, previousEpochTimeouts*(config.Term+config.Margin)),
		table: newWatchTable(config.Self.ID, config.Term+config.Margin),
		view:  newView(config.Self), missing: make(map[eelgrassbeam.EntryID]time.Time), lastTick: config.Clock.Now(),
	}
	m.rebuild()
	return m
}

// Fleet implements eelgrassbeam.FleetSource.
func (m *Monitor) Fleet() *eelgrassbeam.Fleet { return m.fleet.Load() }

// HoldsTerm reports whether this entry holds its term, and thus may act, at the given local time; call it before each
// action. It compares both the monotonic and the wall clock, since the monotonic clock may stop while the machine is
// suspended.
func (m *Monitor) HoldsTerm(now time.Time) bool {
	held := m.heldTerm.Load()
	return m.skipTermCheck || held != nil && now.Before(held.until) && now.Round(0).Before(held.until.Round(0))
}

// HeldSince returns the time since which the term has been held without interruption; zero if it is not held.
func (m *Monitor) HeldSince() time.Time {
	held := m.heldTerm.Load()
	if held == nil || m.skipTermCheck {
		return time.Time{}
	}
	return held.since
}

// Leave announces that this entry is shutting down gracefully; it keeps renewing its term until it stops.
func (m *Monitor) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.announce(EntryState{ID: m.config.Self.ID, Incarnation: m.term.current.incarnation, State: eelgrassbeam.InstanceLeaving})
}

// Run sends and checks heartbeats and reads the platform's instance list until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runEvery(ctx, m.config.Interval, m.sendHeartbeats) })
	group.Go(func() error { return m.runEvery(ctx, m.config.Interval/2, m.check) })
	group.Go(func() error { return m.runEvery(ctx, rosterReadInterval, m.refreshRoster) })
	err := group.Wait()
	m.heldTerm.Store(nil)
	return err
}

// runEvery runs the step immediately and then once per interval until the context ends.
func (m *Monitor) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	for {
		next := m.config.Clock.After(interval)
		step(ctx)
		select {
		case <-next:
		case <-ctx.Done():
			return nil
		}
	}
}

// Register adds the monitor's gRPC service to the peer server.
func (m *Monitor) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, m)
}

// ErrPeerUnreachable is returned when a peer cannot be reached.
var ErrPeerUnreachable = errors.New("peer is unreachable")

func peerError(address netip.AddrPort, err error) error {
	return fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, address, err)
}
