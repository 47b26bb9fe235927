package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// BenchmarkAcquire measures Acquire with an affinity key and a free slot at its preferred upstream, for the upstream
// counts of a small and a large service.
func BenchmarkAcquire(b *testing.B) {
	for _, upstreams := range []int{16, 219} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			log, _ := test.NewNullLogger()
			s := &simulation{now: time.Unix(1000, 0)}
			view := eelgrassbeam.View{UpstreamsRevision: 1, Routing: &eelgrassbeam.Routing{
				Version: 1, Routes: []eelgrassbeam.PathRoute{*lookupRoute},
				Services: map[eelgrassbeam.ServiceName]eelgrassbeam.ServiceSettings{"s": {ColdStart: 3 * time.Second, ColdPerSecond: 2.7}},
			}}
			for i := range upstreams {
				view.Upstreams = append(view.Upstreams, eelgrassbeam.Upstream{
					ID: eelgrassbeam.UpstreamID(fmt.Sprintf("i-%010d", i)), Service: "s", Zone: "z", Region: "r", State: eelgrassbeam.InstanceLive, Slots: 6,
				})
			}
			s.view = &view
			p := New(Config{Self: eelgrassbeam.Entry{ID: "e", Zone: "z", Region: "r"}, Clock: s, Log: log, Views: s, Entries: func() []eelgrassbeam.EntryID { return []eelgrassbeam.EntryID{"e"} }})
			b.ReportAllocs()
			for i := range b.N {
				slot, err := p.Acquire(b.Context(), Job{Request: "r", Route: lookupRoute, Service: "s", Key: fmt.Sprint(i % 200), StartBy: s.now.Add(time.Second)})
				if err != nil {
					b.Fatal(err)
				}
				slot.Release(ResultAnswered, eelgrassbeam.SiteLoad{InProgress: 1, Slots: 6})
			}
		})
	}
}
