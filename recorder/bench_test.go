package recorder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// BenchmarkRecord takes requests through all states and reports the memory per recorded request.
func BenchmarkRecord(b *testing.B) {
	r := New(Config{Clock: clockwork.NewRealClock(), Capacity: b.N, ReplyBytes: 1, Window: time.Hour})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	reply := answered("r", "0123456789")
	b.ResetTimer()
	for i := range b.N {
		id := eelgrassbeam.RequestID(fmt.Sprintf("entry-a.18f0c0ffee123456.%x", i))
		if r.Receive(id) != nil || r.Start(id) != nil {
			b.Fatal("refused")
		}
		r.Finish(id, reply)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/request")
	runtime.KeepAlive(r)
}
