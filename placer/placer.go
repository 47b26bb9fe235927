// Package placer answers look-ups: which entries a client is to call.
package placer

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
	// blockBits4 and blockBits6 are the lengths of a client block that the table does not know.
	blockBits4 = 24
	blockBits6 = 48
)

// Block is a block of client addresses with the region next to it.
type Block struct {
	Prefix netip.Prefix          `json:"prefix"`
	Region eelgrassbeam.RegionID `json:"region"`
}

// Config configures a Placer.
type Config struct {
	// Blocks are the known client blocks; the longest that holds the client is used.
	Blocks []Block
	// Log receives one line a look-up; nil for none.
	Log logrus.FieldLogger
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Reason tells why a region was chosen.
type Reason string

// The reasons.
const (
	// ReasonBlock says that the client's block names the region.
	ReasonBlock Reason = "block"
	// ReasonHome says that the region is the answering entry's own.
	ReasonHome Reason = "home"
	// ReasonElsewhere says that neither of these is usable.
	ReasonElsewhere Reason = "elsewhere"
	// ReasonCold says that the region has come back and gets its blocks bit by bit.
	ReasonCold Reason = "cold"
)

// Placement is the answer to a look-up.
type Placement struct {
	// Entries are in the order in which the client tries them.
	Entries []eelgrassbeam.Entry
	Block   netip.Prefix
	Region  eelgrassbeam.RegionID
	Reason  Reason
	// Revision and Version name the inputs.
	Revision uint64
	Version  uint64
}

// Placer places client blocks on entries. It is safe for concurrent use.
type Placer struct {
	config  Config
	blocks  *bart.Table[eelgrassbeam.RegionID]
	placed  prometheus.Counter
	current atomic.Pointer[table]
	// building is held while a table is built.
	building sync.Mutex
	// byPosition hashes entries by their place in the list; tests use it to break stability.
	byPosition bool
	// skipsRamp gives a region that comes back all its blocks at once; tests only.
	skipsRamp bool
}

// New returns a Placer over the blocks.
func New(config Config) *Placer {
	p := &Placer{config: config, blocks: new(bart.Table[eelgrassbeam.RegionID])}
	regions := make(map[eelgrassbeam.RegionID]eelgrassbeam.RegionID)
	for _, block := range config.Blocks {
		if _, ok := regions[block.Region]; !ok {
			regions[block.Region] = block.Region
		}
		p.blocks.Insert(block.Prefix.Masked(), regions[block.Region])
	}
	p.placed = promauto.With(config.Registerer).NewCounter(prometheus.CounterOpts{
		Name: "eelgrassbeam_placer_lookups_total", Help: "Look-ups that were answered.",
	})
	return p
}

// Place returns the entries for the client, LookupEntries of them where the
// fleet has as many; false without a usable entry. The views must not change
// after the call.
func (p *Placer) Place(
	fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, client netip.Addr, home eelgrassbeam.RegionID, now time.Time,
) (Placement, bool) {
	t := p.table(fleet, config, now)
	block, near, known := p.block(client)
	hash := hashBlock(block)
	region, reason := t.region(near, known, home, hash)
	if region == nil {
		return Placement{}, false
	}
	if region.isCold(hash, now, config.Defaults.SlowStart.Duration) && !p.skipsRamp {
		if other := t.elsewhere(region, hash); other != nil {
			region, reason = other, ReasonCold
		}
	}
	placement := Placement{
		Entries: t.pick(region, hash, config.Defaults.LookupEntries), Block: block, Region: region.id,
		Reason: reason, Revision: fleet.Revision, Version: config.Version,
	}
	p.placed.Inc()
	p.log(placement, client)
	return placement, true
}

func (p *Placer) block(client netip.Addr) (netip.Prefix, eelgrassbeam.RegionID, bool) {
	client = client.Unmap().WithZone("")
	whole := netip.PrefixFrom(client, client.BitLen())
	if prefix, region, ok := p.blocks.LookupPrefixLPM(whole); ok {
		return prefix, region, true
	}
	bits := blockBits4
	if client.Is6() {
		bits = blockBits6
	}
	block, err := client.Prefix(bits)
	if err != nil {
		return whole, "", false
	}
	return block, "", false
}

func (p *Placer) log(placement Placement, client netip.Addr) {
	if p.config.Log == nil {
		return
	}
	entries := make([]eelgrassbeam.EntryID, len(placement.Entries))
	for i, entry := range placement.Entries {
		entries[i] = entry.ID
	}
	p.config.Log.WithFields(logrus.Fields{
		"event": "decision", "kind": "lookup", "client": client, "block": placement.Block, "region": placement.Region,
		"choice": entries, "reason": placement.Reason, "fleet": placement.Revision, "version": placement.Version,
	}).Info("")
}

// table returns the table of the views, from the last call where it still holds.
func (p *Placer) table(fleet *eelgrassbeam.Fleet, config *eelgrassbeam.Configuration, now time.Time) *table {
	if t := p.current.Load(); t != nil && t.holds(fleet, config, now) {
		return t
	}
	p.building.Lock()
	defer p.building.Unlock()
	if t := p.current.Load(); t != nil && t.holds(fleet, config, now) {
		return t
	}
	t := newTable(fleet, config, now, p.byPosition)
	if old := p.current.Load(); old != nil {
		t.follow(old)
	}
	p.current.Store(t)
	return t
}

func hashBlock(block netip.Prefix) uint64 {
	raw := block.Addr().As16()
	return mix(xxhash.Sum64(raw[:]), uint64(block.Bits()))
}
