package measurer

import (
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/admitter"
)

// System names the implementation under test in a run.
type System string

// The systems under test.
const (
	// SystemAdmitter is the real admitter of the site's dispatcher.
	SystemAdmitter System = "admitter"
	// SystemFIFO is a baseline with one FIFO queue for all slots.
	SystemFIFO System = "one queue"
	// SystemTwoChoices is a baseline without a dispatcher: each entry chooses the less loaded of two random upstreams,
	// which have their own FIFO queues.
	SystemTwoChoices System = "each entry"
)

// Systems returns all systems.
func Systems() []System { return []System{SystemAdmitter, SystemFIFO, SystemTwoChoices} }

// system runs the requests of one site.
type system interface {
	submit(request eelgrassbeam.Request, deadline time.Time, done func())
	// maxInProgress returns the highest number of requests in progress at any one upstream, divided by its slots.
	maxInProgress() float64
}

// siteRun is the state of one simulated site, which all systems share: the clock, the service times and the use of
// slots.
type siteRun struct {
	*engine
	generator      *generator
	tally          *tally
	inProgress     map[eelgrassbeam.UpstreamID]int
	peakInProgress int
	slots          int
	scenario       Scenario
}

func (s *siteRun) maxInProgress() float64 { return float64(s.peakInProgress) / float64(s.slots) }

// serve runs a request of the rank at the upstream, then calls done with its service time.
func (s *siteRun) serve(upstream eelgrassbeam.UpstreamID, rank eelgrassbeam.Rank, done func(time.Duration)) {
	s.inProgress[upstream]++
	s.peakInProgress = max(s.peakInProgress, s.inProgress[upstream])
	took := time.Duration(s.scenario.serviceTimeFactor(rank) * float64(s.generator.serviceTime()))
	s.after(took, func() {
		s.inProgress[upstream]--
		s.tally.addSlotTime(rank, took)
		done(took)
	})
}

// MeasureSite runs the scenario with the system and returns its report.
func MeasureSite(scenario Scenario, kind System) Report {
	s := &siteRun{
		engine: newEngine(), generator: newGenerator(scenario.Seed), tally: newTally(),
		inProgress: make(map[eelgrassbeam.UpstreamID]int), slots: scenario.SlotsPerUpstream, scenario: scenario,
	}
	var systemUnderTest system
	switch kind {
	case SystemAdmitter:
		systemUnderTest = newAdmitterSystem(s, scenario)
	case SystemFIFO:
		systemUnderTest = newFIFO(s, scenario)
	case SystemTwoChoices:
		systemUnderTest = newTwoChoices(s, scenario)
	}
	arrivals := newGenerator(scenario.Seed + 1)
	for i, rank := range eelgrassbeam.Ranks() {
		rate := scenario.Demand[i] * float64(scenario.slots()) / meanServiceTime.Seconds() / scenario.serviceTimeFactor(rank)
		if rate > 0 {
			s.scheduleArrivals(arrivals, scenario.service(), rank, rate, systemUnderTest)
		}
	}
	s.runFor(warmUp)
	*s.tally = *newTally()
	s.runFor(scenario.Length)
	return s.tally.report(scenario, string(kind), systemUnderTest.maxInProgress())
}

// scheduleArrivals submits requests of the rank at the given mean rate until the run ends.
func (s *siteRun) scheduleArrivals(arrivals *generator, service eelgrassbeam.Service, rank eelgrassbeam.Rank, perSecond float64, systemUnderTest system) {
	s.after(arrivals.interarrival(perSecond), func() {
		request, sent := arrivals.nextRequest(service.Name, rank), s.now
		deadline := sent.Add(service.Policy(rank).Deadline.Duration)
		s.tally.recordOffered(request)
		systemUnderTest.submit(request, deadline, func() {
			s.tally.recordAnswered(request, s.now.Sub(sent), !s.now.After(deadline))
		})
		s.scheduleArrivals(arrivals, service, rank, perSecond, systemUnderTest)
	})
}

// admitterSystem is the system with the real admitter.
type admitterSystem struct {
	*siteRun
	admitter *admitter.Admitter
}

func newAdmitterSystem(s *siteRun, scenario Scenario) *admitterSystem {
	a := admitter.New(admitter.Config{Service: scenario.service(), Clock: s.engine})
	var set []admitter.UpstreamSlots
	for _, upstream := range scenario.upstreams() {
		set = append(set, admitter.UpstreamSlots{Upstream: upstream, Slots: scenario.SlotsPerUpstream})
	}
	a.SetUpstreams(set)
	return &admitterSystem{siteRun: s, admitter: a}
}

func (a *admitterSystem) submit(request eelgrassbeam.Request, deadline time.Time, done func()) {
	a.run(request, deadline, func(answered bool) {
		if answered {
			done()
		}
	})
}

// run submits the request and calls done with true when it has been answered, or with false if it is rejected.
func (a *admitterSystem) run(request eelgrassbeam.Request, deadline time.Time, done func(answered bool)) {
	a.admitter.Submit(request, deadline, func(slot *admitter.Slot, err error) {
		if err != nil {
			done(false)
			return
		}
		a.serve(slot.Upstream.ID, request.Rank, func(took time.Duration) {
			slot.Release(admitter.Result{Outcome: admitter.OutcomeOK, Duration: took})
			done(true)
		})
	})
}
