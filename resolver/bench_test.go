package resolver

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
)

// BenchmarkBlocks reports the heap memory that a table of client blocks holds.
func BenchmarkBlocks(b *testing.B) {
	for _, count := range []int{19_000, 95_000, 190_000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			blocks := make([]Block, count)
			for i := range blocks {
				blocks[i] = Block{Prefix: netip.PrefixFrom(client(i), 24), Region: region(i % 16)}
			}
			before := heapBytes()
			var p *Resolver
			for b.Loop() {
				p = New(Config{Blocks: blocks})
			}
			p.config.Blocks = nil
			b.ReportMetric((heapBytes()-before)/1e6, "MB-held")
			runtime.KeepAlive(p)
			runtime.KeepAlive(blocks)
		})
	}
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
