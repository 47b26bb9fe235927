package keeper

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

// BenchmarkDo sends new keys, 64 at once, through one home and the platform's
// stand-in over HTTP, and reports the time to run and the writes a key.
func BenchmarkDo(b *testing.B) { benchmarkDo(b, 64, 0) }

// BenchmarkDoAlone sends one new key after the other with a platform that takes 20 ms to answer.
func BenchmarkDoAlone(b *testing.B) { benchmarkDo(b, 1, 20*time.Millisecond) }

func benchmarkDo(b *testing.B, workers int, slow time.Duration) {
	clock := clockwork.NewRealClock()
	stand := standin.NewPlatform(standin.PlatformConfig{Clock: clock})
	server := httptest.NewServer(stand)
	defer server.Close()
	defer stand.Close()
	stand.SetFaults(standin.PlatformFaults{Slow: eelgrassbeam.Duration{Duration: slow}})
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
	seen := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
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
				_ = seen.RecordValue(time.Since(begin).Nanoseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	counts := stand.Counts()
	b.ReportMetric(float64(counts.Create+counts.Update)/float64(b.N), "writes/key")
	b.ReportMetric(float64(counts.Create+counts.Update)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(seen.ValueAtQuantile(50))/1e6, "p50_ms")
	b.ReportMetric(float64(seen.ValueAtQuantile(99))/1e6, "p99_ms")
}

// writesPerSecond leaves the default for many callers and takes the bound away for one.
func writesPerSecond(workers int) float64 {
	if workers > 1 {
		return 0
	}
	return 1000
}
