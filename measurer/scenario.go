package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// minServiceTime is the minimum service time of a request.
	minServiceTime = 10 * time.Millisecond
	// meanServiceTime is the mean service time of a request.
	meanServiceTime = 20 * time.Millisecond
	// warmUp is the time at the start of a run that is excluded from the results.
	warmUp = 5 * time.Second
	// queueLimit is the maximum number of queued requests of each rank.
	queueLimit = 256
)

// Scenario describes a load on one site.
type Scenario struct {
	Name string
	// Upstreams and SlotsPerUpstream are the site's size.
	Upstreams, SlotsPerUpstream int
	// Demand is the offered work of each rank as a share of the site's capacity.
	Demand [eelgrassbeam.RankCount]float64
	// BackgroundFactor multiplies the service time of background requests; zero means 1.
	BackgroundFactor float64
	Length           time.Duration
	Seed             uint64
}

// Sites returns the sizes of sites in one zone, for services of both example users.
func Sites() []Scenario {
	return []Scenario{
		{Name: "booking", Upstreams: 3, SlotsPerUpstream: 3},
		{Name: "events", Upstreams: 2, SlotsPerUpstream: 3},
		{Name: "orders", Upstreams: 2, SlotsPerUpstream: 5},
	}
}

// WithDemand returns a copy with the demand of each rank.
func (s Scenario) WithDemand(urgent, standard, background float64) Scenario {
	s.Demand = [eelgrassbeam.RankCount]float64{urgent, standard, background}
	return s
}

// WithBackgroundFactor returns a copy that multiplies the service time of background requests by the factor.
func (s Scenario) WithBackgroundFactor(factor float64) Scenario {
	s.BackgroundFactor = factor
	return s
}

// serviceTimeFactor returns the multiplier of the rank's service time.
func (s Scenario) serviceTimeFactor(rank eelgrassbeam.Rank) float64 {
	if rank == eelgrassbeam.RankBackground && s.BackgroundFactor > 0 {
		return s.BackgroundFactor
	}
	return 1
}

// WithLength returns a copy that measures for the virtual duration with the random seed.
func (s Scenario) WithLength(length time.Duration, seed uint64) Scenario {
	s.Length, s.Seed = length, seed
	return s
}

func (s Scenario) slots() int { return s.Upstreams * s.SlotsPerUpstream }

// service returns the service's configuration, which is the same for all systems.
func (s Scenario) service() eelgrassbeam.Service {
	return eelgrassbeam.Service{
		Name: eelgrassbeam.ServiceName(s.Name), SlotsPerUpstream: s.SlotsPerUpstream,
		Ranks: []eelgrassbeam.RankPolicy{
			{Rank: eelgrassbeam.RankUrgent, Deadline: eelgrassbeam.Milliseconds(500), QueueLimit: queueLimit},
			{Rank: eelgrassbeam.RankStandard, Floor: 0.2, Deadline: eelgrassbeam.Seconds(2), QueueLimit: queueLimit},
			{Rank: eelgrassbeam.RankBackground, Floor: 0.1, Deadline: eelgrassbeam.Seconds(10), QueueLimit: queueLimit},
		},
	}
}

// floor returns the rank's floor. The urgent rank has no configured floor; for it, floor returns the share of capacity
// that the other ranks' floors leave.
func (s Scenario) floor(rank eelgrassbeam.Rank) float64 {
	service := s.service()
	if floor := service.Policy(rank).Floor; floor > 0 {
		return floor
	}
	return 1 - service.Policy(eelgrassbeam.RankStandard).Floor - service.Policy(eelgrassbeam.RankBackground).Floor
}

func (s Scenario) upstreams() []eelgrassbeam.Upstream {
	upstreams := make([]eelgrassbeam.Upstream, s.Upstreams)
	for i := range upstreams {
		upstreams[i] = eelgrassbeam.Upstream{
			ID: eelgrassbeam.UpstreamID(fmt.Sprint("u", i)), Service: eelgrassbeam.ServiceName(s.Name),
			State: eelgrassbeam.InstanceLive, Zone: "z0", Region: "r0",
		}
	}
	return upstreams
}

// generator generates requests, exponentially distributed times between them, and service times.
type generator struct {
	random       *rand.Rand
	requestCount int
}

func newGenerator(seed uint64) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, seed))}
}

// nextRequest returns a request of the rank. Three teams of equal weight send requests in the ratio 6 to 3 to 2.
func (g *generator) nextRequest(service eelgrassbeam.ServiceName, rank eelgrassbeam.Rank) eelgrassbeam.Request {
	g.requestCount++
	teams := []eelgrassbeam.TeamID{"a", "a", "a", "a", "a", "a", "b", "b", "b", "c", "c"}
	return eelgrassbeam.Request{
		ID: eelgrassbeam.RequestID(fmt.Sprint(g.requestCount)), Service: service, Rank: rank, Attempt: 1,
		Team: teams[g.random.IntN(len(teams))],
	}
}

func (g *generator) interarrival(perSecond float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
}

func (g *generator) serviceTime() time.Duration {
	return minServiceTime + time.Duration(g.random.ExpFloat64()*float64(meanServiceTime-minServiceTime))
}
