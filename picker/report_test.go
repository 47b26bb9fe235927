package picker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const fleetLength = 14 * time.Second

// playFleet plays 30 entries whose requests, for 260 objects, go to 120 upstreams that share machines with other work. That
// slows each to 2.5 times the usual in one moment of twelve. Three requests in a hundred take seven times as long.
func playFleet(t *testing.T, perSecond float64, hidesPace bool) (*simulation, []simulatedResult) {
	t.Helper()
	s := newSimulation(t, 30, 120, 4)
	s.hitTime, s.missTime, s.distance = 165*time.Millisecond, 540*time.Millisecond, 20*time.Millisecond
	s.queueLimit, s.keeps, s.tailShare, s.tailFactor, s.hidesPace = 12, 27, 0.03, 7, hidesPace
	for entry := range s.pickers {
		s.scheduleArrivals(entry, lookupRoute, perSecond/float64(len(s.pickers)), 260, 0, fleetLength)
	}
	s.view.Routing.Routes = s.view.Routing.Routes[:1]
	for at := time.Duration(0); at < fleetLength; at += 20 * time.Millisecond {
		s.schedule(s.now.Add(at), s.changePaces)
	}
	for at := 4 * time.Second; at < fleetLength; at += 100 * time.Millisecond {
		s.schedule(s.now.Add(at), s.sample)
	}
	return s, s.run()
}

// changePaces draws the pace of one upstream in ten.
func (s *simulation) changePaces() {
	for _, id := range s.ids {
		if s.random.Float64() > 0.1 {
			continue
		}
		s.upstreams[id].pace = 1
		if s.random.Float64() < 0.08 {
			s.upstreams[id].pace = 2.5
		}
	}
}

// sample adds the load of the busiest upstream and the mean.
func (s *simulation) sample() {
	busiest, total := 0, 0
	for _, u := range s.upstreams {
		load := u.running + len(u.queue)
		busiest, total = max(busiest, load), total+load
	}
	s.busiest += float64(busiest)
	s.mean += float64(total) / float64(len(s.upstreams))
}

// Guards against entries that overrun upstreams in turns, because they take one that they haven't heard of for idle, and send
// to machines that are slow at the moment. Reports come with responses only.
func TestUpstreamsOnSharedMachines(t *testing.T) {
	isAny := func(simulatedResult) bool { return true }
	for _, perSecond := range []float64{700, 1050} {
		var inTime [2]float64
		var rejected [2]int
		for i, hidesPace := range []bool{true, false} {
			s, results := playFleet(t, perSecond, hidesPace)
			inTime[i], rejected[i] = shareOf(results, isAny, isWithin(lookupRoute.TargetLatency)), s.rejectedArrivals
			t.Logf("%v requests a second, pace hidden %t: %.3f in time, %d arrivals rejected, busiest to mean %.2f", perSecond, hidesPace, inTime[i], rejected[i], s.busiest/s.mean)
		}
		is := is.New(t)
		is.True(inTime[1] > inTime[0])
		is.True(rejected[1] <= rejected[0])
	}
}

func TestExpectedOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &service{othersPerSlot: 0.5}
	u := newState(eelgrassbeam.Upstream{Slots: 4})
	is := is.New(t)
	is.Equal(s.expectedOthers(u, now), 2.0) // nothing was heard of the upstream
	u.otherInFlight, u.reportedAt = 6, now
	is.Equal(s.expectedOthers(u, now), 6.0)
	is.Equal(s.expectedOthers(u, now.Add(reportHalfLife)), 4.0)
	s.othersPerSlot = 3
	u.reportedAt = time.Time{}
	is.Equal(s.expectedOthers(u, now), 3.0) // one slot is left
}

func TestPaceAges(t *testing.T) {
	now := time.Unix(1000, 0)
	u := newState(eelgrassbeam.Upstream{Slots: 4})
	is := is.New(t)
	is.Equal(u.paceAt(now), 1.0)
	u.pace, u.reportedAt = 3, now
	is.Equal(u.paceAt(now), 3.0)
	is.Equal(u.paceAt(now.Add(paceHalfLife)), 2.0)
}
