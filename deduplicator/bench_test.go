package deduplicator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// BenchmarkDo sends new keys from 64 concurrent callers through one home and the platform stand-in over HTTP, and
// reports latencies and platform writes per key.
func BenchmarkDo(b *testing.B) { benchmarkDo(b, 64, 0) }

// BenchmarkDoAlone sends new keys sequentially, with 20 ms of platform latency.
func BenchmarkDoAlone(b *testing.B) { benchmarkDo(b, 1, 20*time.Millisecond) }

func benchmarkDo(b *testing.B, workers int, latency time.Duration) {
	clock := clockwork.NewRealClock()
	platformStandin := standin.NewPlatform(standin.PlatformConfig{Clock: clock})
	server := httptest.NewServer(platformStandin)
	defer server.Close()
	defer platformStandin.Close()
	platformStandin.SetFaults(standin.PlatformFaults{Slow: eelgrassbeam.Duration{Duration: latency}})
	log := logrus.New()
	store, err := platform.New(platform.Config{URL: server.URL, Clock: clock, Log: log, CallsPerSecond: 1000})
	if err != nil {
		b.Fatal(err)
	}
	self := entry("a", "r")
	k := New(Config{
		Self: self, Incarnation: 1, Store: store, Clock: clock, Log: log, WritesPerSecond: writesPerSecond(workers),
		Fleet: fleet{&eelgrassbeam.Fleet{Entries: []eelgrassbeam.Entry{self}}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	defer func() { cancel(); <-done }()
	latencies := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := worker; i < b.N; i += workers {
				begin := time.Now()
				reply, _ := k.Do(ctx, keyed("r", fmt.Sprintf("k%d-%d", b.N, i), "x"), func(context.Context) (eelgrassbeam.Reply, error) {
					return eelgrassbeam.Reply{Outcome: eelgrassbeam.OutcomeAnswered, Status: 200}, nil
				})
				if reply.Outcome != eelgrassbeam.OutcomeAnswered {
					b.Errorf("%s %s", reply.Outcome, reply.Reason)
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(begin).Nanoseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	counts := platformStandin.Counts()
	b.ReportMetric(float64(counts.Create+counts.Update)/float64(b.N), "writes/key")
	b.ReportMetric(float64(counts.Create+counts.Update)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e6, "p50_ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e6, "p99_ms")
}

// writesPerSecond returns 0 (the default limit) for several workers, and a limit that never applies for one.
func writesPerSecond(workers int) float64 {
	if workers > 1 {
		return 0
	}
	return 1000
}
