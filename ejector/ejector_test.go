package ejector

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const full = 3

func TestEjector(t *testing.T) {
	t.Run("consecutive failures eject an upstream, a successful probe restores it", func(t *testing.T) {
		is, e, clock := setUp(t, 4)
		is.True(recordFailures(e, "u0", DefaultConsecutive))
		is.Equal(e.Slots("u0", full), 0)
		next, ok := e.NextProbe()
		is.True(ok)
		clock.Advance(next.Sub(clock.Now()))
		is.Equal(e.Slots("u0", full), 1)
		is.True(e.Record("u0", false))
		is.Equal(e.Slots("u0", full), full)
	})
	t.Run("a failed probe doubles the ejection time, which is reset after enough time in use", func(t *testing.T) {
		is, e, clock := setUp(t, 4)
		recordFailures(e, "u0", DefaultConsecutive)
		clock.Advance(DefaultBaseTime)
		is.True(e.Record("u0", true))
		clock.Advance(DefaultBaseTime)
		is.Equal(e.Slots("u0", full), 0)
		clock.Advance(DefaultBaseTime)
		is.Equal(e.Slots("u0", full), 1)
		e.Record("u0", false)
		clock.Advance(backoffResetFactor * 2 * DefaultBaseTime)
		e.Record("u0", false)
		recordFailures(e, "u0", DefaultConsecutive)
		clock.Advance(DefaultBaseTime)
		is.Equal(e.Slots("u0", full), 1)
	})
	t.Run("a high error rate ejects only an outlier", func(t *testing.T) {
		for _, shared := range []bool{false, true} {
			is, e, _ := setUp(t, 4)
			ejected := false
			for i := range 60 {
				failed := i%3 != 0
				for _, other := range []eelgrassbeam.UpstreamID{"u1", "u2", "u3"} {
					e.Record(other, failed && shared)
				}
				ejected = e.Record("u0", failed) || ejected
			}
			is.Equal(ejected, !shared)
		}
	})
	t.Run("the share of upstreams ejected at once is bounded", func(t *testing.T) {
		for _, unbounded := range []bool{false, true} {
			for _, count := range []int{1, 2, 6} {
				is, e, _ := setUp(t, count)
				e.unbounded = unbounded
				for id := range e.upstreams {
					recordFailures(e, id, DefaultConsecutive)
				}
				left := 0
				for id := range e.upstreams {
					left += e.Slots(id, 1)
				}
				is.Equal(left >= (count+1)/2, !unbounded)
			}
		}
	})
}

func setUp(t *testing.T, count int) (*is.I, *Ejector, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	e := New(Config{Clock: clock, Metrics: NewMetrics(nil)})
	ids := []eelgrassbeam.UpstreamID{"u0", "u1", "u2", "u3", "u4", "u5"}
	e.SetUpstreams(ids[:count])
	return is.New(t), e, clock
}

func recordFailures(e *Ejector, id eelgrassbeam.UpstreamID, times int) bool {
	changed := false
	for range times {
		changed = e.Record(id, true)
	}
	return changed
}
