package resolver

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

func TestPlace(t *testing.T) {
	p := New(Config{Blocks: []Block{{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Region: "r1"}}})
	fleet := newFleet(3, 2, 4)
	t.Run("uses the region of the client's block, else the home region", func(t *testing.T) {
		is := is.New(t)
		near, ok := p.Resolve(fleet, settings(3), netip.MustParseAddr("10.2.3.4"), "r0", noon)
		is.True(ok)
		is.Equal(near.Region, eelgrassbeam.RegionID("r1"))
		is.Equal(near.Block, netip.MustParsePrefix("10.2.0.0/16"))
		far, ok := p.Resolve(fleet, settings(3), netip.MustParseAddr("192.0.2.9"), "r0", noon)
		is.True(ok)
		is.Equal(far.Region, eelgrassbeam.RegionID("r0"))
		is.Equal(far.Block, netip.MustParsePrefix("192.0.2.0/24"))
		mapped, _ := p.Resolve(fleet, settings(3), netip.MustParseAddr("::ffff:192.0.2.77"), "r0", noon)
		is.Equal(mapped.Entries[0], far.Entries[0])
	})
	t.Run("fallback entries are in another zone first and in another region last", func(t *testing.T) {
		is := is.New(t)
		for i := range 200 {
			got, ok := p.Resolve(fleet, settings(4), client(i), "r0", noon)
			is.True(ok)
			is.Equal(len(got.Entries), 4)
			is.True(got.Entries[0].Zone != got.Entries[1].Zone)
			is.Equal(got.Entries[2].Region, eelgrassbeam.RegionID("r0"))
			is.True(got.Entries[3].Region != "r0")
		}
	})
	t.Run("drained entries are left out until the drain expires, leaving and failed ones always", func(t *testing.T) {
		is := is.New(t)
		drained := settings(2, eelgrassbeam.Exception{
			ID: "x", Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion, Target: "r0",
			Value: "true", ExpiresAt: noon.Add(time.Minute),
		})
		got, ok := p.Resolve(fleet, drained, client(1), "r0", noon)
		is.True(ok)
		is.True(got.Region != "r0")
		is.Equal(got.Reason, ReasonElsewhere)
		got, _ = p.Resolve(fleet, drained, client(1), "r0", noon.Add(time.Minute))
		is.Equal(got.Region, eelgrassbeam.RegionID("r0"))
		gone := newFleet(1, 1, 2)
		gone.Entries[0].State, gone.Entries[1].State = eelgrassbeam.InstanceLeaving, eelgrassbeam.InstanceFailed
		_, ok = p.Resolve(gone, settings(2), client(1), "r0", noon)
		is.True(!ok)
	})
	t.Run("a zone's weight scales its share of the blocks", func(t *testing.T) {
		is := is.New(t)
		weighted := settings(1, eelgrassbeam.Exception{
			ID: "w", Setting: eelgrassbeam.SettingWeight, TargetKind: eelgrassbeam.TargetZone, Target: "r0-z0", Value: "0.5",
		})
		share := 0.0
		for i := range 20_000 {
			got, _ := p.Resolve(fleet, weighted, client(i), "r0", noon)
			if got.Entries[0].Zone == "r0-z0" {
				share += 1.0 / 20_000
			}
		}
		is.True(share > 0.31 && share < 0.36)
	})
}

func TestLostEntryMovesOnlyItsBlocks(t *testing.T) {
	for _, byPosition := range []bool{false, true} {
		t.Run(fmt.Sprintf("byPosition=%t", byPosition), func(t *testing.T) {
			moved := 0
			rapid.Check(t, func(r *rapid.T) {
				before := newFleet(rapid.IntRange(1, 3).Draw(r, "regions"), rapid.IntRange(1, 3).Draw(r, "zones"), rapid.IntRange(2, 5).Draw(r, "entries"))
				lost := rapid.IntRange(0, len(before.Entries)-1).Draw(r, "lost")
				moved += unrelatedMoves(before, lost, byPosition)
			})
			is.New(t).Equal(moved > 0, byPosition)
		})
	}
}

// unrelatedMoves counts the blocks that move on the loss of an entry although another entry served them.
func unrelatedMoves(before *eelgrassbeam.Fleet, lost int, byPosition bool) int {
	after := &eelgrassbeam.Fleet{Entries: append(append([]eelgrassbeam.Entry{}, before.Entries[:lost]...), before.Entries[lost+1:]...)}
	p, q := New(Config{}), New(Config{})
	p.byPosition, q.byPosition = byPosition, byPosition
	config, moved := settings(1), 0
	for i := range 100 {
		old, _ := p.Resolve(before, config, client(i), "r0", noon)
		current, _ := q.Resolve(after, config, client(i), "r0", noon)
		if old.Entries[0].ID != before.Entries[lost].ID && old.Entries[0].ID != current.Entries[0].ID {
			moved++
		}
	}
	return moved
}

func BenchmarkPlace(b *testing.B) {
	blocks := make([]Block, 190_000)
	for i := range blocks {
		blocks[i] = Block{Prefix: netip.PrefixFrom(client(i), 24), Region: region(i % 16)}
	}
	for _, size := range []struct{ regions, zones, entries int }{{3, 2, 10}, {16, 3, 100}, {16, 3, 1000}, {16, 3, 7000}} {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			p, config := New(Config{Blocks: blocks}), settings(3)
			fleet := newFleet(size.regions, size.zones, size.entries/(size.regions*size.zones)+1)
			fleet.Entries = fleet.Entries[:min(size.entries, len(fleet.Entries))]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := p.Resolve(fleet, config, client(i%len(blocks)), "r0", noon); !ok {
					b.Fatal("no usable entry for the client")
				}
			}
		})
	}
}

func newFleet(regions, zones, entries int) *eelgrassbeam.Fleet {
	fleet := &eelgrassbeam.Fleet{Revision: 1}
	for r := range regions {
		for z := range zones {
			for e := range entries {
				zone := eelgrassbeam.ZoneID(fmt.Sprintf("%s-z%d", region(r), z))
				fleet.Entries = append(fleet.Entries, eelgrassbeam.Entry{
					ID: eelgrassbeam.EntryID(fmt.Sprintf("%s-e%d", zone, e)), Zone: zone, Region: region(r), State: eelgrassbeam.InstanceLive,
				})
			}
		}
	}
	return fleet
}

func region(i int) eelgrassbeam.RegionID { return eelgrassbeam.RegionID(fmt.Sprintf("r%d", i)) }

func settings(entries int, exceptions ...eelgrassbeam.Exception) *eelgrassbeam.Configuration {
	return &eelgrassbeam.Configuration{Defaults: eelgrassbeam.Defaults{LookupEntries: entries}, Exceptions: exceptions}
}

func client(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(11 + i>>16), byte(i >> 8), byte(i), 1})
}
