// Package viewer keeps this entry's view of the platform's objects, from the store and from peers.
package viewer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// lapseHold is how long upstreams that lapsed during an outage of the store are kept after its return: those that
	// live have registered again within about two seconds.
	lapseHold = 2 * time.Second
	// outageGap without an answer of the store counts as an outage.
	outageGap = time.Second
	// sweepInterval is the time between looks for holds that have run out.
	sweepInterval = 100 * time.Millisecond
	// maxRemoved bounds the removed upstreams that are remembered: more than a fleet replaces while a peer can be late.
	maxRemoved = 20000
	// returnedZoneCold is how long the upstreams of a zone that is taken back count as cold at least: two reports of theirs.
	returnedZoneCold = 3 * time.Second
)

// Config configures a Viewer.
type Config struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// DecodeRouting decodes the configuration as the store holds it.
	DecodeRouting func(value []byte) (*eelgrassbeam.Routing, error)
}

// row is an upstream and when it is dropped, zero for never.
type row struct {
	upstream eelgrassbeam.Upstream
	dropAt   time.Time
}

// removal tells of a removed upstream.
type removal struct {
	// entry is the revision up to which its entries are gone.
	entry uint64
	// at is the revision by which the removal is known.
	at uint64
}

// UpstreamChange is a changed entry, or the removal of one.
type UpstreamChange struct {
	Upstream eelgrassbeam.Upstream
	// Removed is set for a removal; entries up to Revision are gone.
	Removed  eelgrassbeam.UpstreamID
	Revision uint64
}

// Viewer implements eelgrassbeam.ViewSource. It is safe for concurrent use.
type Viewer struct {
	config  Config
	view    atomic.Pointer[eelgrassbeam.View]
	changed chan struct{}
	// ignoresLeaving takes upstreams that leave for live ones; tests only.
	ignoresLeaving bool

	mu   sync.Mutex
	rows map[eelgrassbeam.UpstreamID]row
	// removed holds the upstreams that were found removed, so that a peer's older entry doesn't bring them back.
	removed map[eelgrassbeam.UpstreamID]removal
	// returnedAt is when the store answered again after the latest outage.
	returnedAt, answeredAt time.Time
	isRead                 bool
	// hasFailed tells that the store's latest answer was none.
	hasFailed bool
	// knownSince is the store's revision from which on all removals are remembered.
	knownSince uint64
	// routingValue is the configuration in force as the store holds it.
	routingValue []byte
}

// New returns a Viewer with an empty view.
func New(config Config) *Viewer {
	v := &Viewer{config: config, changed: make(chan struct{}, 1), rows: make(map[eelgrassbeam.UpstreamID]row), removed: make(map[eelgrassbeam.UpstreamID]removal)}
	v.view.Store(&eelgrassbeam.View{})
	return v
}

// View implements eelgrassbeam.ViewSource.
func (v *Viewer) View() *eelgrassbeam.View { return v.view.Load() }

// Changed delivers after each change of the view; changes may be joined.
func (v *Viewer) Changed() <-chan struct{} { return v.changed }

// Run drops upstreams whose hold has run out until the context ends.
func (v *Viewer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.config.Clock.After(sweepInterval):
			v.sweep()
		}
	}
}

// NoteAnswer notes that the store answered.
func (v *Viewer) NoteAnswer() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answeredAt, v.hasFailed = v.config.Clock.Now(), false
}

// HasStore tells whether the store has answered the latest call.
func (v *Viewer) HasStore() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.hasFailed
}

// NoteFailure notes that the store did not answer; the next answer ends an outage.
func (v *Viewer) NoteFailure() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hasFailed = true
	now := v.config.Clock.Now()
	if now.Sub(v.answeredAt) > outageGap {
		v.returnedAt = now
	}
}

// OfferRouting puts the configuration in force if its version is higher.
func (v *Viewer) OfferRouting(value []byte, revision uint64, source string) {
	routing, err := v.config.DecodeRouting(value)
	if err != nil {
		v.config.Log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": revision, "source": source, "error": err}).Error("")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	if view.Routing != nil && routing.Version <= view.Routing.Version {
		if revision > view.RoutingRevision {
			v.publish(view.WithRouting(view.Routing, revision))
		}
		return
	}
	v.routingValue = value
	v.publish(view.WithRouting(routing, revision))
	v.config.Log.WithFields(logrus.Fields{
		"event": "configuration_in_force", "version": routing.Version, "revision": revision, "source": source,
		"routes": len(routing.Routes),
	}).Info("")
}

// ReplaceUpstreams takes over a whole list at the revision. Upstreams that lapsed during an outage stay for a while.
func (v *Viewer) ReplaceUpstreams(upstreams []eelgrassbeam.Upstream, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.view.Load().UpstreamsRevision {
		return
	}
	listed := make(map[eelgrassbeam.UpstreamID]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.ID] = true
		v.put(upstream)
	}
	for id := range v.rows {
		if !listed[id] {
			v.drop(id, removal{entry: revision, at: revision})
		}
	}
	if !v.isRead {
		v.isRead, v.knownSince = true, revision
	}
	v.publishUpstreams(revision)
}

// ApplyUpstreams takes over changes in their order; the view is at the revision with all of them.
func (v *Viewer) ApplyUpstreams(changes []UpstreamChange, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes, revision)
}

// apply needs v.mu.
func (v *Viewer) apply(changes []UpstreamChange, revision uint64) {
	for _, change := range changes {
		if change.Removed == "" {
			v.put(change.Upstream)
			continue
		}
		held := v.rows[change.Removed].upstream
		v.drop(change.Removed, removal{entry: max(change.Revision, held.Revision), at: revision})
	}
	v.publishUpstreams(revision)
}

// SetEvacuated takes over the evacuated zones at the revision.
func (v *Viewer) SetEvacuated(zones []eelgrassbeam.ZoneID, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.view.Load()
	if revision < view.EvacuatedRevision {
		return
	}
	zones = slices.Clone(zones)
	slices.Sort(zones)
	for _, zone := range view.Evacuated {
		if !slices.Contains(zones, zone) {
			v.chill(zone)
		}
	}
	if !slices.Equal(zones, view.Evacuated) {
		v.config.Log.WithFields(logrus.Fields{"event": "evacuations", "zones": zones, "revision": revision}).Info("")
	}
	v.publish(view.WithEvacuated(zones, revision))
	v.publishUpstreams(v.view.Load().UpstreamsRevision)
}

// chill treats a zone's upstreams as cold, since they may have become so while they got no work. It needs v.mu.
func (v *Viewer) chill(zone eelgrassbeam.ZoneID) {
	until := v.config.Clock.Now().Add(returnedZoneCold)
	for id, r := range v.rows {
		if r.upstream.Zone == zone && r.upstream.ColdUntil.Before(until) {
			r.upstream.ColdUntil = until
			v.rows[id] = r
		}
	}
}

// put keeps the newest report of each upstream: the latest start first, then the highest sequence. It needs v.mu.
func (v *Viewer) put(upstream eelgrassbeam.Upstream) {
	if v.ignoresLeaving {
		upstream.State = eelgrassbeam.InstanceLive
	}
	if upstream.Revision <= v.removed[upstream.ID].entry {
		return
	}
	held, ok := v.rows[upstream.ID]
	if ok && isOlder(upstream, held.upstream) {
		v.config.Log.WithFields(logrus.Fields{
			"event": "upstream_report_stale", "upstream": upstream.ID, "sequence": upstream.Sequence, "known_sequence": held.upstream.Sequence,
		}).Info("")
		held.dropAt = time.Time{}
		v.rows[upstream.ID] = held
		return
	}
	if ok && held.upstream.Started == upstream.Started && held.upstream.ColdUntil.After(upstream.ColdUntil) && upstream.Revision == held.upstream.Revision {
		upstream.ColdUntil = held.upstream.ColdUntil
	}
	if !ok || held.upstream.State != upstream.State || held.upstream.Started != upstream.Started {
		v.config.Log.WithFields(logrus.Fields{
			"event": "upstream_known", "upstream": upstream.ID, "service": upstream.Service, "zone": upstream.Zone, "state": upstream.State,
			"address": upstream.Address, "started": upstream.Started, "revision": upstream.Revision, "cold_until": upstream.ColdUntil.Format("15:04:05.000"),
		}).Info("")
	}
	v.rows[upstream.ID] = row{upstream: upstream}
}

func isOlder(report, held eelgrassbeam.Upstream) bool {
	if report.Started != held.Started {
		return report.Started < held.Started
	}
	return report.Sequence < held.Sequence
}

// drop removes the upstream, later if it may have lapsed because the store was away. It needs v.mu.
func (v *Viewer) drop(id eelgrassbeam.UpstreamID, gone removal) {
	held, ok := v.rows[id]
	if !ok {
		return
	}
	v.noteRemoved(id, gone)
	now := v.config.Clock.Now()
	holdUntil := v.returnedAt.Add(lapseHold)
	if held.upstream.State == eelgrassbeam.InstanceLive && !v.returnedAt.IsZero() && now.Before(holdUntil) {
		if held.dropAt.IsZero() {
			held.dropAt = holdUntil
			v.rows[id] = held
		}
		return
	}
	delete(v.rows, id)
	v.config.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id, "service": held.upstream.Service}).Info("")
}

// noteRemoved needs v.mu.
func (v *Viewer) noteRemoved(id eelgrassbeam.UpstreamID, gone removal) {
	if len(v.removed) >= maxRemoved {
		clear(v.removed)
		v.knownSince = gone.at
	}
	known := v.removed[id]
	v.removed[id] = removal{entry: max(known.entry, gone.entry), at: max(known.at, gone.at)}
}

func (v *Viewer) sweep() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, dropped := v.config.Clock.Now(), false
	for id, r := range v.rows {
		if !r.dropAt.IsZero() && !now.Before(r.dropAt) {
			delete(v.rows, id)
			dropped = true
			v.config.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id, "reason": "lapsed"}).Info("")
		}
	}
	if dropped {
		v.publishUpstreams(v.view.Load().UpstreamsRevision)
	}
}

// publishUpstreams needs v.mu.
func (v *Viewer) publishUpstreams(revision uint64) {
	upstreams := make([]eelgrassbeam.Upstream, 0, len(v.rows))
	for _, r := range v.rows {
		upstreams = append(upstreams, r.upstream)
	}
	view := v.view.Load()
	if !v.isRead {
		revision = 0
	}
	v.publish(view.WithUpstreams(upstreams, max(revision, view.UpstreamsRevision)))
}

// publish needs v.mu.
func (v *Viewer) publish(view *eelgrassbeam.View) {
	v.view.Store(view)
	select {
	case v.changed <- struct{}{}:
	default:
	}
}
