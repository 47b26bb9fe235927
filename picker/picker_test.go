package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

var (
	lookupRoute  = &eelgrassbeam.PathRoute{Name: "lookup", PathPrefix: "/l/", Priority: 0, TargetLatency: 400 * time.Millisecond, Timeout: 1200 * time.Millisecond, Sticky: true, Shares: []eelgrassbeam.ServiceShare{{Service: "s", Weight: 1}}}
	listingRoute = &eelgrassbeam.PathRoute{Name: "listing", PathPrefix: "/k/", Priority: 2, TargetLatency: 2 * time.Second, Timeout: 2500 * time.Millisecond, Sticky: true, Shares: []eelgrassbeam.ServiceShare{{Service: "s", Weight: 1}}}
)

func isRejected(r simulatedResult) bool { return r.rejected }
func isUrgent(r simulatedResult) bool   { return r.priority == 0 }
func isCacheHit(r simulatedResult) bool { return r.isCacheHit }
func isAnswered(r simulatedResult) bool { return !r.rejected }
func isFrom(e int) func(simulatedResult) bool {
	return func(r simulatedResult) bool { return r.entry == e }
}

func isWithin(limit time.Duration) func(simulatedResult) bool {
	return func(r simulatedResult) bool { return !r.rejected && r.took <= limit }
}

// Guards against starvation of a lightly loaded entry under saturation. Such an entry mistook the mean load of
// the other entries for that of its own upstreams and rejected 68 to 85 % of its requests (scale-2 of salones-te).
func TestLightlyLoadedEntryIsNotStarved(t *testing.T) {
	s := newSimulation(t, 4, 8, 3)
	for entry, perSecond := range []float64{35, 35, 35, 5} {
		s.scheduleArrivals(entry, lookupRoute, perSecond, 40, 0, 15*time.Second)
	}
	results := s.run()
	is := is.New(t)
	light, heavy := shareOf(results, isFrom(3), isAnswered), shareOf(results, isFrom(0), isAnswered)
	is.True(light >= heavy-0.1) // within 10 percentage points of a heavily loaded entry
}

// Guards against a burst of low-priority requests delaying urgent ones: upstreams serve in order of arrival, so every
// low-priority request queued there delays the urgent requests behind it.
func TestUrgentRequestsDuringLowPriorityBurst(t *testing.T) {
	s := newSimulation(t, 4, 8, 3)
	for entry := range 4 {
		s.scheduleArrivals(entry, lookupRoute, 8, 24, 0, 15*time.Second)
		s.scheduleArrivals(entry, listingRoute, 40, 24, 3*time.Second, 12*time.Second)
	}
	results := s.run()
	is := is.New(t)
	is.True(shareOf(results, isUrgent, isRejected) < 0.02)
	urgent := shareOf(results, isUrgent, isWithin(lookupRoute.TargetLatency))
	is.True(urgent >= 0.6) // most urgent requests are answered within the target latency
}

// Guards cache affinity with many objects under steady load: an upstream answers a cached object in a third of the
// time.
func TestCacheAffinity(t *testing.T) {
	s := newSimulation(t, 10, 16, 3)
	for entry := range 10 {
		s.scheduleArrivals(entry, lookupRoute, 6, 48, 0, 20*time.Second)
	}
	is.New(t).True(shareOf(s.run(), isAnswered, isCacheHit) >= 0.85)
}

func candidateIDs(p *Picker, job Job) []eelgrassbeam.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyView()
	var ids []eelgrassbeam.UpstreamID
	for _, c := range p.candidates(p.service("s"), job, p.config.Clock.Now()) {
		ids = append(ids, c.state.upstream.ID)
	}
	return ids
}

func TestRendezvousOrder(t *testing.T) {
	s := newSimulation(t, 3, 12, 3)
	before := make(map[string]eelgrassbeam.UpstreamID)
	for key := range 200 {
		job := Job{Route: lookupRoute, Service: "s", Key: fmt.Sprint(key)}
		before[job.Key] = candidateIDs(s.pickers[0], job)[0]
	}
	t.Run("all entries agree", func(t *testing.T) {
		for key, preferred := range before {
			is.New(t).Equal(candidateIDs(s.pickers[2], Job{Route: lookupRoute, Service: "s", Key: key})[0], preferred)
		}
	})
	t.Run("a lost upstream moves only its own keys", func(t *testing.T) {
		lost := s.view.Upstreams[4].ID
		s.view = s.view.WithUpstreams(append(append([]eelgrassbeam.Upstream{}, s.view.Upstreams[:4]...), s.view.Upstreams[5:]...), 2)
		for key, preferred := range before {
			now := candidateIDs(s.pickers[0], Job{Route: lookupRoute, Service: "s", Key: key})[0]
			is.New(t).True(now == preferred || preferred == lost)
		}
	})
}

func TestIneligibleUpstreams(t *testing.T) {
	for name, change := range map[string]func(s *simulation){
		"leaving": func(s *simulation) {
			changed := append([]eelgrassbeam.Upstream{}, s.view.Upstreams...)
			for i := range changed {
				changed[i].State = eelgrassbeam.InstanceLeaving
			}
			s.view = s.view.WithUpstreams(changed, 2)
		},
		"evacuated": func(s *simulation) { s.view = s.view.WithEvacuated([]eelgrassbeam.ZoneID{"z0", "z1"}, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 1, 2, 1)
			s.view.Routing.Routes = []eelgrassbeam.PathRoute{*lookupRoute}
			p := s.pickers[0]
			job := Job{Route: lookupRoute, Service: "s", Key: "1", StartBy: s.now.Add(time.Second)}
			p.Refresh()
			service := p.service("s")
			queued := &waiter{job: job, queuedAt: s.now, slot: make(chan *Slot, 1)}
			service.enqueue(queued)
			change(s)
			p.Refresh()
			is.Equal(len(queued.slot), 0) // queued requests get no slot there either
			_, err := p.tryAcquire(service, job, s.now)
			is.Equal(err, ErrNoUpstream)
		})
	}
	t.Run("other region", func(t *testing.T) {
		s := newSimulation(t, 1, 6, 1)
		route := *lookupRoute
		route.Regions = []eelgrassbeam.RegionID{"r1"}
		for _, id := range candidateIDs(s.pickers[0], Job{Route: &route, Service: "s", Key: "1"}) {
			is.New(t).True(id == "u01" || id == "u04")
		}
	})
}

// Guards against an upstream in slow start getting the cold rate from every entry when all entries are under load.
func TestColdRateIsSharedByAllEntries(t *testing.T) {
	s := newSimulation(t, 10, 4, 3)
	cold := append([]eelgrassbeam.Upstream{}, s.view.Upstreams...)
	cold[0].ColdUntil = s.now.Add(6 * time.Second)
	s.view = s.view.WithUpstreams(cold, 2)
	for entry := range 10 {
		s.scheduleArrivals(entry, lookupRoute, 10, 60, 0, 6*time.Second)
	}
	s.run()
	const bound = 2.7*1.5 + 5 // 1.5 times the cold rate per second, plus a margin for the entries' initial tokens
	for second, count := range s.arrivals["u00"] {
		if second < cold[0].ColdUntil.Unix() {
			is.New(t).True(float64(count) <= bound)
		}
	}
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, 3)
	s.view.Routing.Routes = []eelgrassbeam.PathRoute{*lookupRoute}
	p := s.pickers[0]
	job := Job{Route: lookupRoute, Service: "s", Key: "1", StartBy: s.now.Add(time.Second)}
	p.Refresh()
	var failing eelgrassbeam.UpstreamID
	for range ejectionThreshold {
		slot, err := p.tryAcquire(p.service("s"), job, s.now)
		is.NoErr(err)
		is.True(failing == "" || slot.Upstream.ID == failing)
		failing = slot.Upstream.ID
		slot.Release(ResultConnectionFailed, eelgrassbeam.SiteLoad{})
	}
	is.True(candidateIDs(p, job)[0] != failing)
	s.now = s.now.Add(maxEjectionTime)
	is.Equal(len(candidateIDs(p, job)), 2)
}

// Guards against false rejections in the first second of traffic, when the wait was estimated from a rate of one
// response per second (inc-04c8 of sencnik-rez).
func TestNoRejectionAfterFewResponses(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 2, 1)
	p := s.pickers[0]
	service := p.service("s")
	job := Job{Route: lookupRoute, Service: "s"}
	service.enqueue(&waiter{job: job})
	service.enqueue(&waiter{job: job})
	service.completions.add(s.now)
	is.Equal(p.estimatedWait(service, job), time.Duration(0))
	for range 9 {
		service.completions.add(s.now)
	}
	is.Equal(p.estimatedWait(service, job), 200*time.Millisecond)
}

func TestRate(t *testing.T) {
	is := is.New(t)
	var r rate
	now := time.Unix(1000, 0)
	for range 20 {
		r.add(now)
		now = now.Add(50 * time.Millisecond)
	}
	is.Equal(r.perSecond(now.Add(-50*time.Millisecond)), 20.0)
	is.Equal(r.perSecond(now.Add(2*time.Second)), 0.0)
}

func TestSlotReportsAgeOfReportAndView(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1, 3)
	s.view.Routing.Routes = append(s.view.Routing.Routes, *lookupRoute)
	acquire := func() *Slot {
		slot, err := s.pickers[0].Acquire(t.Context(), Job{Request: "r", Route: lookupRoute, Service: "s", Key: "k", StartBy: s.now.Add(time.Second)})
		is.NoErr(err)
		return slot
	}
	first := acquire()
	is.Equal(first.ReportAge, time.Duration(0)) // nothing reported yet
	first.Release(ResultAnswered, eelgrassbeam.SiteLoad{InProgress: 2, Slots: 3})
	s.now = s.now.Add(300 * time.Millisecond)
	second := acquire()
	is.Equal(second.ReportAge, 300*time.Millisecond)
	is.Equal(second.ViewAge, 300*time.Millisecond)
}

// Guards against the entries' processors being saturated while hundreds of empty upstreams join a large fleet: for each
// upstream in slow start, every entry determined from the list of all entries whether it shares the cold rate, and the
// list was built anew each time. Answers then took seconds.
func TestJoiningUpstreamsShareOneListOfEntries(t *testing.T) {
	const entryCount, upstreamCount, coldCount = 300, 600, 200
	is := is.New(t)
	s := newSimulation(t, 1, upstreamCount, 3)
	joining := append([]eelgrassbeam.Upstream{}, s.view.Upstreams...)
	for i := range coldCount {
		joining[i].ColdUntil = s.now.Add(10 * time.Second)
	}
	s.view = s.view.WithUpstreams(joining, 2)
	s.view.Routing.Routes = []eelgrassbeam.PathRoute{*lookupRoute}
	lists, ids := 0, make([]eelgrassbeam.EntryID, entryCount)
	for i := range ids {
		ids[i] = eelgrassbeam.EntryID(fmt.Sprintf("e%03d", i))
	}
	p := s.pickers[0]
	p.config.Entries = func() []eelgrassbeam.EntryID {
		lists++
		return ids
	}
	const duration, interval = 2 * time.Second, 50 * time.Millisecond
	for range duration / interval {
		slot, err := p.Acquire(t.Context(), Job{Request: "r", Route: lookupRoute, Service: "s", Key: "k", StartBy: s.now.Add(time.Second)})
		is.NoErr(err)
		slot.Release(ResultAnswered, eelgrassbeam.SiteLoad{})
		s.now = s.now.Add(interval)
	}
	is.True(lists <= int(duration/entriesTTL)) // one list per entriesTTL, whatever the number of cold upstreams
}

// Guards against one moment of trouble ejecting an upstream for the maximum time: all exchanges in progress fail together,
// and each further pair of failures doubled the ejection.
func TestExchangesInProgressDoNotProlongEjection(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1, 1, 20)
	s.view.Routing.Routes = []eelgrassbeam.PathRoute{*lookupRoute}
	p := s.pickers[0]
	job := Job{Route: lookupRoute, Service: "s", Key: "1", StartBy: s.now.Add(time.Second)}
	p.Refresh()
	var inProgress []*Slot
	for range 4 * ejectionThreshold {
		slot, err := p.tryAcquire(p.service("s"), job, s.now)
		is.NoErr(err)
		inProgress = append(inProgress, slot)
	}
	for _, slot := range inProgress {
		s.now = s.now.Add(time.Millisecond)
		slot.Release(ResultConnectionFailed, eelgrassbeam.SiteLoad{})
	}
	s.now = s.now.Add(baseEjectionTime)
	is.Equal(len(candidateIDs(p, job)), 1) // ejected once, for the shortest time
}

// Guards against requests to an upstream that has said that it leaves, after the store has lost and listed it again.
func TestUpstreamThatLeavesIsRemembered(t *testing.T) {
	leave := func(t *testing.T) *simulation {
		t.Helper()
		s := newSimulation(t, 1, 2, 1)
		slot, err := s.pickers[0].Acquire(t.Context(), Job{Route: lookupRoute, Service: "s", Key: "1", StartBy: s.now.Add(time.Second)})
		is.New(t).NoErr(err)
		slot.Observe(&eelgrassbeam.Notice{IsLeaving: true})
		slot.Release(ResultAnswered, eelgrassbeam.SiteLoad{})
		is.New(t).Equal(len(candidateIDs(s.pickers[0], Job{Route: lookupRoute, Service: "s", Key: "1"})), 1)
		return s
	}
	requireCandidates := func(t *testing.T, s *simulation, want int) {
		t.Helper()
		is.New(t).Equal(len(candidateIDs(s.pickers[0], Job{Route: lookupRoute, Service: "s", Key: "1"})), want)
	}
	t.Run("listed again", func(t *testing.T) {
		s := leave(t)
		listed := s.view.Upstreams
		s.view = s.view.WithUpstreams(nil, 2)
		requireCandidates(t, s, 0)
		s.now = s.now.Add(leavingRetention / 2)
		s.view = s.view.WithUpstreams(listed, 3)
		requireCandidates(t, s, 1)
	})
	t.Run("started again", func(t *testing.T) {
		s := leave(t)
		started := append([]eelgrassbeam.Upstream{}, s.view.Upstreams...)
		for i := range started {
			started[i].Started = 9
		}
		s.view = s.view.WithUpstreams(started, 2)
		requireCandidates(t, s, 2)
	})
}

// Guards against a rejection that names too short a time, and against one where a pause ends in time for the request.
func TestAllUpstreamsPaused(t *testing.T) {
	pause := func(t *testing.T, until time.Duration) (*Picker, Job) {
		t.Helper()
		s := newSimulation(t, 1, 1, 1)
		s.view.Routing.Routes = []eelgrassbeam.PathRoute{*lookupRoute}
		job := Job{Route: lookupRoute, Service: "s", Key: "1", StartBy: s.now.Add(time.Second)}
		slot, err := s.pickers[0].Acquire(t.Context(), job)
		is.New(t).NoErr(err)
		slot.Observe(&eelgrassbeam.Notice{RetryAfter: until})
		slot.Release(ResultShed, eelgrassbeam.SiteLoad{InProgress: 1, Slots: 1})
		return s.pickers[0], job
	}
	t.Run("beyond the time of the request", func(t *testing.T) {
		is := is.New(t)
		p, job := pause(t, 3*time.Second)
		_, err := p.Acquire(t.Context(), job)
		is.Equal(err, ErrNoUpstream)
		is.Equal(p.RetryAfter(job), 3*time.Second)
	})
	t.Run("within it", func(t *testing.T) {
		is := is.New(t)
		p, job := pause(t, 300*time.Millisecond)
		slot, err := p.tryAcquire(p.service("s"), job, p.config.Clock.Now())
		is.NoErr(err)
		is.Equal(slot, nil)
		slot, err = p.tryAcquire(p.service("s"), job, p.config.Clock.Now().Add(300*time.Millisecond))
		is.NoErr(err)
		is.True(slot != nil)
	})
}
