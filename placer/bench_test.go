package placer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
)

// BenchmarkBlocks tells the memory of a table of client blocks.
func BenchmarkBlocks(b *testing.B) {
	for _, count := range []int{19_000, 95_000, 190_000} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			blocks := make([]Block, count)
			for i := range blocks {
				blocks[i] = Block{Prefix: netip.PrefixFrom(client(i), 24), Region: region(i % 16)}
			}
			before := heap()
			var p *Placer
			for b.Loop() {
				p = New(Config{Blocks: blocks})
			}
			p.config.Blocks = nil
			b.ReportMetric((heap()-before)/1e6, "MB-held")
			runtime.KeepAlive(p)
			runtime.KeepAlive(blocks)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
