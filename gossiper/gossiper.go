// Package gossiper exchanges membership and replicated store state between entries.
package gossiper

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// roundInterval is the time between gossip rounds. Each round contacts one peer of the same availability zone,
	// and some rounds also one of any zone.
	roundInterval = 500 * time.Millisecond
	// startRoundInterval replaces roundInterval until the first member is known: entries that start at the same moment
	// refuse each other's first calls.
	startRoundInterval = 100 * time.Millisecond
	// minCrossZonePeriod is the minimum period, in rounds, of exchanges with a peer of any zone. In larger fleets the
	// period is one round per membersPerCrossZoneRound members, so that cross-zone traffic grows linearly with the
	// fleet.
	minCrossZonePeriod       = 2
	membersPerCrossZoneRound = 10
	// failureTimeout is the time without a new heartbeat after which a member counts as failed: six rounds.
	failureTimeout = 3 * time.Second
	// crossZoneFailureTimeout is failureTimeout for members of other zones in a fleet of more than smallFleetSize
	// members, whose heartbeats arrive less often.
	crossZoneFailureTimeout = 6 * time.Second
	smallFleetSize          = 20
	// watchersPerZone is the number of entries per zone that watch the store and push changes to the others. With one, a
	// zone whose watcher is turned away by the store learns of an evacuation up to 2.5 s late.
	watchersPerZone = 2
	// pushDelay is the delay before a push, which coalesces a burst of changes.
	pushDelay = 20 * time.Millisecond
	// minCompressedUpstreams is the number of upstreams from which a push is compressed.
	minCompressedUpstreams = 16
	// callTimeout bounds one call with a small message. It is below failureTimeout, so that one dead peer doesn't make
	// others seem failed.
	callTimeout = 800 * time.Millisecond
	// pullTimeout bounds a pull, whose duration depends on the size of the state and the speed of the link.
	pullTimeout = 5 * time.Second
	// hedgeDelay is how long a pull may take before another one may start beside it, and maxPulls how many may be in
	// progress.
	hedgeDelay = callTimeout
	maxPulls   = 2
	// maxPushedRoutingBytes is the size up to which the routing is pushed. A larger one is announced, and each receiver
	// pulls it once, however many peers hold it.
	maxPushedRoutingBytes = 16 << 10
	// failedRetention is how long a member is kept after its last heartbeat.
	failedRetention = time.Minute
	// pullDelay is the delay before state is pulled from a peer with a later revision. The store or a push usually
	// delivers the state first.
	pullDelay = 500 * time.Millisecond
	// discoveryInterval is the time between a watcher's reads of the store for unknown entries.
	discoveryInterval = 15 * time.Second
	// discoveryPollInterval is the time between checks whether this entry has to call the store, and between the calls
	// of an entry that is unregistered or knows no other entry.
	discoveryPollInterval = time.Second
	// seedTimeout is how long an entry waits at start for a seed to answer before it looks for others in the store.
	seedTimeout = time.Second
	// settleTime is how long after its start an entry counts on knowing which members of its zone are watchers: four
	// rounds.
	settleTime = 2 * time.Second
	// memberPollInterval is the time between checks for members at start.
	memberPollInterval = 100 * time.Millisecond
)

// Member is an entry's own description of itself.
type Member struct {
	Entry eelgrassbeam.Entry `json:"entry"`
	// Incarnation increases with each start of the entry.
	Incarnation uint64 `json:"incarnation"`
	// Count is the heartbeat counter, incremented in each gossip round of the entry.
	Count uint64 `json:"count"`
	// IsReady reports whether the entry accepts callers' requests.
	IsReady bool `json:"is_ready,omitempty"`
	// IsStoreReachable reports whether the entry's latest call to the store, if it makes any, got a response.
	IsStoreReachable bool `json:"has_store,omitempty"`
}

// heartbeat returns the member's current heartbeat.
func (m Member) heartbeat() heartbeat {
	return heartbeat{
		ID: m.Entry.ID, Incarnation: m.Incarnation, Count: m.Count,
		IsReady: m.IsReady, IsStoreReachable: m.IsStoreReachable, IsLeaving: m.Entry.State == eelgrassbeam.InstanceLeaving,
	}
}

// withHeartbeat returns a copy of m updated by a later heartbeat.
func (m Member) withHeartbeat(hb heartbeat) Member {
	m.Count, m.IsReady, m.IsStoreReachable, m.Entry.State = hb.Count, hb.IsReady, hb.IsStoreReachable, eelgrassbeam.InstanceLive
	if hb.IsLeaving {
		m.Entry.State = eelgrassbeam.InstanceLeaving
	}
	return m
}

// Revisions tells how recent each part of a view is.
type Revisions struct {
	// RoutingVersion is the version of the routing. Unlike the store's revision, it never goes back and never stands for
	// two states.
	RoutingVersion uint64                `json:"routing_version"`
	Upstreams      eelgrassbeam.Revision `json:"upstreams"`
	Evacuated      eelgrassbeam.Revision `json:"evacuated"`
	// ConfirmedAge is how long ago the store last confirmed that the routing is the latest, directly or by way of peers; zero
	// if that isn't known.
	ConfirmedAge time.Duration `json:"confirmed_age,omitempty"`
}

// covers reports whether r is at least as recent as other in every component.
func (r Revisions) covers(other Revisions) bool {
	return r.RoutingVersion >= other.RoutingVersion && r.Upstreams >= other.Upstreams && r.Evacuated >= other.Evacuated
}

// era returns the latest era of the store that the view has state of.
func (r Revisions) era() uint64 { return max(r.Upstreams, r.Evacuated).Era() }

// State is store state replicated between peers.
type State struct {
	// Revisions are those of the replica; those of upstreams and evacuations are zero if the state doesn't hold them.
	Revisions Revisions `json:"revisions"`
	// IsDelta reports whether Upstreams and Removed are the changes after revision Since rather than the full state.
	IsDelta bool                  `json:"is_delta,omitempty"`
	Since   eelgrassbeam.Revision `json:"since,omitempty"`
	// Removed are the upstreams that were deleted from the store.
	Removed []eelgrassbeam.UpstreamID `json:"removed,omitempty"`
	// Routing is the stored form of the routing, RoutingRevision its store revision.
	Routing         []byte                  `json:"routing,omitempty"`
	RoutingRevision eelgrassbeam.Revision   `json:"routing_revision,omitempty"`
	Upstreams       []eelgrassbeam.Upstream `json:"upstreams,omitempty"`
	// ColdFor is the remaining cold time of each element of Upstreams, in the same order.
	ColdFor   []time.Duration       `json:"cold_for,omitempty"`
	Evacuated []eelgrassbeam.ZoneID `json:"evacuated,omitempty"`
	// RetainedFor is the remaining retention of the evacuations that the restored store lacks. Entries of earlier versions
	// neither send nor read it.
	RetainedFor map[eelgrassbeam.ZoneID]time.Duration `json:"retained_for,omitempty"`
	// Announced are the sender's revisions if the state leaves out a large routing, From the sender. Entries of earlier
	// versions ignore both and pull after their next exchange.
	Announced *Revisions           `json:"announced,omitempty"`
	From      eelgrassbeam.EntryID `json:"from,omitempty"`
}

// withoutLargeRouting returns the state with an announcement instead of a routing above maxPushedRoutingBytes.
func (s State) withoutLargeRouting(from eelgrassbeam.EntryID) State {
	if len(s.Routing) <= maxPushedRoutingBytes {
		return s
	}
	announced := s.Revisions
	s.Announced, s.From = &announced, from
	s.Routing, s.RoutingRevision, s.Revisions.RoutingVersion = nil, 0, 0
	return s
}

// Replica is this entry's copy of the store state.
type Replica interface {
	Revisions() Revisions
	// State returns the state after the given revisions.
	State(since Revisions) State
	// Merge applies a peer's state.
	Merge(state State)
	// ConfirmRouting records that the version of the routing was the latest a time ago.
	ConfirmRouting(version uint64, age time.Duration)
}

// Config configures a Gossiper.
type Config struct {
	Self    eelgrassbeam.Entry
	Pool    *peer.Pool
	Clock   eelgrassbeam.Clock
	Log     logrus.FieldLogger
	Seeds   []netip.AddrPort
	Replica Replica
	// Directory registers and lists entries in the store.
	Directory  Directory
	Registerer prometheus.Registerer
	// IsReady reports whether this entry accepts callers' requests.
	IsReady func() bool
	// IsStoreReachable reports whether this entry's latest call to the store, if it makes any, got a response.
	IsStoreReachable func() bool
}

// Directory is a registry of the entries' addresses.
type Directory interface {
	// Register writes this entry's addresses.
	Register(ctx context.Context, self eelgrassbeam.Entry) error
	// List returns all registered entries. ListStale returns them as of some seconds ago, at a lower cost.
	List(ctx context.Context) ([]eelgrassbeam.Entry, error)
	ListStale(ctx context.Context) ([]eelgrassbeam.Entry, error)
}

// record is a member with the local time of its latest heartbeat.
type record struct {
	member    Member
	lastHeard time.Time
	failed    bool
	// refusesPings is set while no process takes the member's connections.
	refusesPings bool
	// revisions are the last known revisions of the member's state.
	revisions Revisions
}

// Gossiper maintains the membership and implements the gossip service. It is safe for concurrent use.
type Gossiper struct {
	config  Config
	metrics metrics
	// changed has a buffer of one and wakes up the push loop.
	changed     chan struct{}
	pullTargets chan pullTarget

	mu      sync.Mutex
	self    Member
	records map[eelgrassbeam.EntryID]*record
	seeds   []netip.AddrPort
}

// New returns a Gossiper whose only member is this entry.
func New(config Config) *Gossiper {
	config.Self.State = eelgrassbeam.InstanceLive
	return &Gossiper{
		config: config, metrics: newMetrics(config.Registerer), records: make(map[eelgrassbeam.EntryID]*record), changed: make(chan struct{}, 1),
		pullTargets: make(chan pullTarget, 1), seeds: config.Seeds,
		self: Member{Entry: config.Self, Incarnation: uint64(config.Clock.Now().UnixNano())},
	}
}

// Register registers the gossip service with a peer server.
func (g *Gossiper) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, g)
}

// SetSeeds replaces the seed addresses, which are contacted while no known member has them.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Leave announces to all live members that this entry is stopping.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.self.Entry.State = eelgrassbeam.InstanceLeaving
	g.mu.Unlock()
	g.exchangeAll(ctx, g.liveAddresses())
}

// Members returns the live members including this entry, sorted by ID.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshSelf()
	members := []Member{g.self}
	now := g.config.Clock.Now()
	for _, r := range g.records {
		if g.isLive(r, now) {
			members = append(members, r.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return members
}

// LiveEntries returns the live members that aren't leaving, sorted by ID.
func (g *Gossiper) LiveEntries() []eelgrassbeam.Entry {
	var entries []eelgrassbeam.Entry
	for _, m := range g.Members() {
		if m.Entry.State == eelgrassbeam.InstanceLive {
			entries = append(entries, m.Entry)
		}
	}
	return entries
}

// LiveIDs returns the IDs of LiveEntries.
func (g *Gossiper) LiveIDs() []eelgrassbeam.EntryID {
	var ids []eelgrassbeam.EntryID
	for _, entry := range g.LiveEntries() {
		ids = append(ids, entry.ID)
	}
	return ids
}

// LiveCount returns the number of IDs that LiveIDs would return.
func (g *Gossiper) LiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	if g.self.Entry.State == eelgrassbeam.InstanceLive {
		count++
	}
	now := g.config.Clock.Now()
	for _, r := range g.records {
		if g.isLive(r, now) && r.member.Entry.State == eelgrassbeam.InstanceLive {
			count++
		}
	}
	return count
}

// isLive reports whether the member has been heard within its failure timeout. The caller must hold g.mu.
func (g *Gossiper) isLive(r *record, now time.Time) bool {
	return !r.failed && now.Sub(r.lastHeard) < g.failureTimeoutOf(r)
}

// Run gossips until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.discover(ctx) })
	group.Go(func() error { return g.push(ctx) })
	group.Go(func() error { return g.catchUp(ctx) })
	group.Go(func() error { return g.pingWatchers(ctx) })
	group.Go(func() error {
		for {
			next := g.config.Clock.After(g.nextRoundDelay())
			g.round(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-next:
			}
		}
	})
	return group.Wait()
}

// nextRoundDelay returns roundInterval, or startRoundInterval while this entry knows no other and has seeds to ask.
func (g *Gossiper) nextRoundDelay() time.Duration {
	if len(g.Members()) == 1 && g.hasSeeds() {
		return startRoundInterval
	}
	return roundInterval
}

// detectFailures marks members as failed or recovered and deletes those that have been silent for failedRetention.
func (g *Gossiper) detectFailures() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	for id, r := range g.records {
		failed := now.Sub(r.lastHeard) >= g.failureTimeoutOf(r)
		if failed && now.Sub(r.lastHeard) > failedRetention {
			delete(g.records, id)
		}
		if failed == r.failed {
			continue
		}
		r.failed = failed
		event := "entry_back"
		if failed {
			event = "entry_silent"
		}
		g.config.Log.WithFields(logrus.Fields{"event": event, "peer": id, "silent_ms": now.Sub(r.lastHeard).Milliseconds()}).Warn("")
	}
}
