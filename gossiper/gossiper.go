// Package gossiper spreads between entries who lives and what each knows of the platform's store.
package gossiper

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
)

const (
	// interval is the time between rounds. Each calls one peer of this availability zone, some one of any zone besides.
	interval = 500 * time.Millisecond
	// farRounds is the least number of rounds between two calls of any zone; it grows with the fleet by one for each farMembers
	// members, so that what all entries send between zones grows in proportion to the members.
	farRounds  = 2
	farMembers = 10
	// silence is how long a member's count may stand still before it is taken for failed: six rounds.
	silence = 3 * time.Second
	// farSilence is that time for members of other zones in a fleet of more than smallFleet members, whose counts come seldom.
	farSilence = 6 * time.Second
	smallFleet = 20
	// watchersPerZone is the number of entries of a zone that watch the store; they pass on what changes to the others.
	watchersPerZone = 2
	// pushDelay joins changes that come at once.
	pushDelay = 20 * time.Millisecond
	// callTimeout bounds one call, below the silence so that one dead peer doesn't make others look dead.
	callTimeout = 800 * time.Millisecond
	// forgetAfter is how long a failed member is kept.
	forgetAfter = time.Minute
	// lagBeforePull is how long a peer may know of a later revision before the state is fetched from it: the store usually
	// tells it first.
	lagBeforePull = 500 * time.Millisecond
	// discoverInterval is the time between looks into the store for entries that aren't known yet.
	discoverInterval = 15 * time.Second
	// aloneInterval is that time while no other entry is known.
	aloneInterval = time.Second
)

// Member is an entry as it tells of itself.
type Member struct {
	Entry eelgrassbeam.Entry `json:"entry"`
	// Incarnation rises with each start of the entry.
	Incarnation uint64 `json:"incarnation"`
	// Count rises with each round of the entry.
	Count uint64 `json:"count"`
	// IsReady tells that it takes callers' requests.
	IsReady bool `json:"is_ready,omitempty"`
	// HasStore tells that the store has answered it, as far as it has asked.
	HasStore bool `json:"has_store,omitempty"`
}

// beat returns the member's sign of life.
func (m Member) beat() beat {
	return beat{
		ID: m.Entry.ID, Incarnation: m.Incarnation, Count: m.Count,
		IsReady: m.IsReady, HasStore: m.HasStore, IsLeaving: m.Entry.State == eelgrassbeam.InstanceLeaving,
	}
}

// withBeat returns a copy with a later sign of life.
func (m Member) withBeat(b beat) Member {
	m.Count, m.IsReady, m.HasStore, m.Entry.State = b.Count, b.IsReady, b.HasStore, eelgrassbeam.InstanceLive
	if b.IsLeaving {
		m.Entry.State = eelgrassbeam.InstanceLeaving
	}
	return m
}

// Revisions tell how far a view of the store has come.
type Revisions struct {
	Routing   uint64 `json:"routing"`
	Upstreams uint64 `json:"upstreams"`
	Evacuated uint64 `json:"evacuated"`
}

// covers tells whether nothing in the other revisions is later.
func (r Revisions) covers(other Revisions) bool {
	return r.Routing >= other.Routing && r.Upstreams >= other.Upstreams && r.Evacuated >= other.Evacuated
}

// State is the part of the store's state that peers pass on.
type State struct {
	Revisions Revisions `json:"revisions"`
	// IsDelta tells that Upstreams and Removed are what has changed since the revision Since, not all there is.
	IsDelta bool   `json:"is_delta,omitempty"`
	Since   uint64 `json:"since,omitempty"`
	// Removed are upstreams that the store doesn't hold any more.
	Removed []eelgrassbeam.UpstreamID `json:"removed,omitempty"`
	// Routing is the configuration as the store holds it.
	Routing   []byte                  `json:"routing,omitempty"`
	Upstreams []eelgrassbeam.Upstream `json:"upstreams,omitempty"`
	// ColdFor is how much longer each of Upstreams is cold.
	ColdFor   []time.Duration       `json:"cold_for,omitempty"`
	Evacuated []eelgrassbeam.ZoneID `json:"evacuated,omitempty"`
}

// Replica is this entry's copy of the store's state.
type Replica interface {
	Revisions() Revisions
	// State returns the state that is later than the given one.
	State(than Revisions) State
	// Merge takes over state that a peer has.
	Merge(state State)
}

// Config configures a Gossiper.
type Config struct {
	Self    eelgrassbeam.Entry
	Pool    *peer.Pool
	Clock   eelgrassbeam.Clock
	Log     logrus.FieldLogger
	Seeds   []netip.AddrPort
	Replica Replica
	// Directory finds entries in the store.
	Directory Directory
	// IsReady tells whether this entry takes callers' requests.
	IsReady func() bool
	// HasStore tells whether the store has answered this entry, as far as it has asked.
	HasStore func() bool
}

// Directory holds where entries can be reached.
type Directory interface {
	// Register writes this entry.
	Register(ctx context.Context, self eelgrassbeam.Entry) error
	// List returns all entries that were ever written and not removed, ListStale the same as of some seconds ago for less.
	List(ctx context.Context) ([]eelgrassbeam.Entry, error)
	ListStale(ctx context.Context) ([]eelgrassbeam.Entry, error)
}

// record is a member with the time of its latest sign of life.
type record struct {
	member Member
	heard  time.Time
	failed bool
	// revisions are what the member was last known to hold.
	revisions Revisions
}

// Gossiper is safe for concurrent use.
type Gossiper struct {
	config Config
	// changed holds at most one wake-up of the push.
	changed chan struct{}
	lags    chan lag

	mu      sync.Mutex
	self    Member
	records map[eelgrassbeam.EntryID]*record
	seeds   []netip.AddrPort
}

// New returns a Gossiper that knows only itself.
func New(config Config) *Gossiper {
	config.Self.State = eelgrassbeam.InstanceLive
	return &Gossiper{
		config: config, records: make(map[eelgrassbeam.EntryID]*record), changed: make(chan struct{}, 1),
		lags: make(chan lag, 1), seeds: config.Seeds,
		self: Member{Entry: config.Self, Incarnation: uint64(config.Clock.Now().UnixNano())},
	}
}

// Register adds the gossiper's service to the server between entries.
func (g *Gossiper) Register(registrar grpc.ServiceRegistrar) {
	registrar.RegisterService(&serviceDesc, g)
}

// SetSeeds replaces the addresses that are called while their entries aren't known.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Leave tells the others that this entry stops.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.self.Entry.State = eelgrassbeam.InstanceLeaving
	g.mu.Unlock()
	g.call(ctx, g.all())
}

// Members returns the members that live, this entry included, sorted by ID.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshSelf()
	members := []Member{g.self}
	now := g.config.Clock.Now()
	for _, r := range g.records {
		if !r.failed && now.Sub(r.heard) < g.silenceOf(r) {
			members = append(members, r.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return members
}

// LiveIDs returns the IDs of the members that live and stay, sorted.
func (g *Gossiper) LiveIDs() []eelgrassbeam.EntryID {
	var ids []eelgrassbeam.EntryID
	for _, m := range g.Members() {
		if m.Entry.State == eelgrassbeam.InstanceLive {
			ids = append(ids, m.Entry.ID)
		}
	}
	return ids
}

// Run gossips until the context ends.
func (g *Gossiper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.discover(ctx) })
	group.Go(func() error { return g.push(ctx) })
	group.Go(func() error { return g.catchUp(ctx) })
	group.Go(func() error {
		for {
			next := g.config.Clock.After(interval)
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

// judge notes which members have failed or come back.
func (g *Gossiper) judge() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	for id, r := range g.records {
		failed := now.Sub(r.heard) >= g.silenceOf(r)
		if failed && now.Sub(r.heard) > forgetAfter {
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
		g.config.Log.WithFields(logrus.Fields{"event": event, "peer": id, "silent_ms": now.Sub(r.heard).Milliseconds()}).Warn("")
	}
}
