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
func BenchmarkDo(b *testing.B) {
	const workers = 64
	clock := clockwork.NewRealClock()
	stand := standin.NewPlatform(standin.PlatformConfig{Clock: clock})
	server := httptest.NewServer(stand)
	defer server.Close()
	defer stand.Close()
	log := logrus.New()
	store, err := platform.New(platform.Config{URL: server.URL, Clock: clock, Log: log, CallsPerSecond: 1000})
	if err != nil {
		b.Fatal(err)
	}
	self := entry("a", "r")
	k := New(Config{
		Self: self, Incarnation: 1, Store: store, Clock: clock, Log: log,
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
