// Package resolver answers look-ups: it assigns client addresses to entries by rendezvous hashing.
package resolver

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// blockBits4 and blockBits6 are the IPv4 and IPv6 prefix lengths of client blocks that are not configured.
	blockBits4 = 24
	blockBits6 = 48
)

// Block is a block of client addresses with its nearest region.
type Block struct {
	Prefix netip.Prefix          `json:"prefix"`
	Region eelgrassbeam.RegionID `json:"region"`
}

// Config configures a Resolver.
type Config struct {
	// Blocks are the configured client blocks; the longest prefix that contains the client is used.
	Blocks []Block
	// Log receives one line per look-up; nil disables it.
	Log logrus.FieldLogger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Reason is why a region was chosen.
type Reason string

// Reasons for the choice of a region.
const (
	// ReasonBlock means that the client's block is configured with the region.
	ReasonBlock Reason = "block"
	// ReasonHome means that the region is that of the answering entry.
	ReasonHome Reason = "home"
	// ReasonElsewhere means that neither the block's region nor the answering entry's region is usable.
	ReasonElsewhere Reason = "elsewhere"
	// ReasonCold means that the preferred region is in slow start and does not serve the block yet.
	ReasonCold Reason = "cold"
)

// Placement is the answer to a look-up.
type Placement struct {
	// Entries are the entries in the order in which the client tries them.
	Entries []eelgrassbeam.Entry
	Block   netip.Prefix
	Region  eelgrassbeam.RegionID
	Reason  Reason
	// Revision and Version identify the fleet and the configuration that were used.
	Revision uint64
	Version  uint64
}

// Resolver assigns client blocks to entries. It is safe for concurrent use.
type Resolver struct {
	config  Config
	blocks  *bart.Table[eelgrassbeam.RegionID]
	lookups prometheus.Counter
	current atomic.Pointer[table]
	// buildMu is held while a table is built.
	buildMu sync.Mutex
	// byPosition hashes entries by their position in the list, which makes placements unstable; for tests only.
	byPosition bool
	// skipsSlowStart assigns a returning region all its blocks at once; for tests only.
	skipsSlowStart bool
}

// New returns a Resolver for the configured blocks.
func New(config Config) *Resolver {
	p := &Resolver{config: config, blocks: new(bart.Table[eelgrassbeam.RegionID])}
	// regions interns the region names, so that the many blocks of one region share one string.
	regions := make(map[eelgrassbeam.RegionID]eelgrassbeam.RegionID)
	for _, block := range config.Blocks {
		if _, ok := regions[block.Region]; !ok {
			regions[block.Region] = block.Region
		}
		p.blocks.Insert(block.Prefix.Masked(), regions[block.Region])
	}
	p.lookups = promauto.With(config.Registerer).NewCounter(prometheus.CounterOpts{
		Name: "eelgrassbeam_placer_lookups_total", Help: "Look-ups that were answered.",
	})
	return p
}

// Resolve returns the entries for the client, up to the configured LookupEntries; false if no entry is usable. The
// fleet and the configuration must not be modified after the call, because they are cached by pointer.
func (r *Resolver) Resolve(
	fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, client netip.Addr, home eelgrassbeam.RegionID, now time.Time,
) (Placement, bool) {
	t := r.table(fleet, config, now)
	block, near, known := r.block(client)
	hash := hashBlock(block)
	region, reason := t.region(near, known, home, hash)
	if region == nil {
		return Placement{}, false
	}
	if region.isCold(hash, now, config.Defaults.SlowStart.Duration) && !r.skipsSlowStart {
		if other := t.otherRegion(region, hash); other != nil {
			region, reason = other, ReasonCold
		}
	}
	placement := Placement{
		Entries: t.pick(region, hash, config.Defaults.LookupEntries), Block: block, Region: region.id,
		Reason: reason, Revision: fleet.Revision, Version: config.Version,
	}
	r.lookups.Inc()
	r.log(placement, client)
	return placement, true
}

func (r *Resolver) block(client netip.Addr) (netip.Prefix, eelgrassbeam.RegionID, bool) {
	client = client.Unmap().WithZone("")
	hostPrefix := netip.PrefixFrom(client, client.BitLen())
	if prefix, region, ok := r.blocks.LookupPrefixLPM(hostPrefix); ok {
		return prefix, region, true
	}
	bits := blockBits4
	if client.Is6() {
		bits = blockBits6
	}
	block, err := client.Prefix(bits)
	if err != nil {
		return hostPrefix, "", false
	}
	return block, "", false
}

func (r *Resolver) log(placement Placement, client netip.Addr) {
	if r.config.Log == nil {
		return
	}
	entries := make([]eelgrassbeam.EntryID, len(placement.Entries))
	for i, entry := range placement.Entries {
		entries[i] = entry.ID
	}
	r.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "lookup", "client": client, "block": placement.Block, "region": placement.Region,
		"choice": entries, "reason": placement.Reason, "fleet": placement.Revision, "version": placement.Version,
	}).Info("")
}

// table returns the table of the fleet and the configuration; it is cached until one of them changes or an exception
// expires.
func (r *Resolver) table(fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, now time.Time) *table {
	if t := r.current.Load(); t != nil && t.isCurrent(fleet, config, now) {
		return t
	}
	r.buildMu.Lock()
	defer r.buildMu.Unlock()
	if t := r.current.Load(); t != nil && t.isCurrent(fleet, config, now) {
		return t
	}
	t := newTable(fleet, config, now, r.byPosition)
	if old := r.current.Load(); old != nil {
		t.inheritUsableSince(old)
	}
	r.current.Store(t)
	return t
}

func hashBlock(block netip.Prefix) uint64 {
	raw := block.Addr().As16()
	return mix(xxhash.Sum64(raw[:]), uint64(block.Bits()))
}
