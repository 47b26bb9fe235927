package monitor

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// largeRoster returns a roster with 140 entries and 170 backend servers per zone.
func largeRoster(zones int) *Roster {
	var list eelgrassbeam.InstanceList
	list.Revision = 1
	for zone := range zones {
		for n := range 140 {
			list.Instances = append(list.Instances, instanceOf(testEntry(zone%16, zone, n)))
		}
		for n := range 170 {
			list.Instances = append(list.Instances, eelgrassbeam.Instance{
				ID: fmt.Sprintf("u%d-%d", zone, n), Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive,
				Zone: eelgrassbeam.ZoneID(fmt.Sprintf("z%d-%d", zone%16, zone)), Region: eelgrassbeam.RegionID(fmt.Sprint("r", zone%16)),
				Service: eelgrassbeam.ServiceName(fmt.Sprint("service-", n%17)), Address: netip.MustParseAddrPort("127.0.0.1:1"),
			})
		}
	}
	return newRoster(list)
}

// BenchmarkView measures the time to publish a fleet snapshot after one entry changes, and the memory of the monitor,
// by number of entries.
func BenchmarkView(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, zones := range []int{5, 10, 25, 50} {
		b.Run(fmt.Sprint(zones*140, "_entries"), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			m := New(Config{Self: testEntry(0, 0, 0), Clock: clockwork.NewRealClock(), Log: log, Incarnation: 1})
			m.setRoster(largeRoster(zones))
			m.TakeChanges()
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				m.mu.Lock()
				m.view.merge([]EntryState{{ID: testEntry(0, 0, 1).ID, Incarnation: uint64(i), State: eelgrassbeam.InstanceFailed}}, m.lastTick)
				m.rebuild()
				m.mu.Unlock()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
		})
	}
}
