package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	maxLatency         = time.Minute
	significantFigures = 3
	teamsPerRank       = 3
)

// RankReport holds the results of one rank.
type RankReport struct {
	Rank    eelgrassbeam.Rank
	Offered int
	// InTime is the share of the offered requests that were answered within their deadline.
	InTime float64
	// P50 and P99 are percentiles of the latency of answered requests.
	P50, P99 time.Duration
	// SlotShare is the share of the site's slot time that the rank has used.
	SlotShare float64
	// FloorRatio is SlotShare divided by the smaller of the rank's floor and its offered work. It is at least 1 if the
	// rank got its floor.
	FloorRatio float64
	// Fairness is Jain's fairness index of the numbers of answered requests of teams with equal weight.
	Fairness float64
}

// Report holds the results of one run.
type Report struct {
	System string
	Ranks  [eelgrassbeam.RankCount]RankReport
	// MaxInProgress is the highest number of requests in progress at any one upstream, divided by its slots.
	MaxInProgress float64
}

// Rank returns the rank's report.
func (r Report) Rank(rank eelgrassbeam.Rank) RankReport { return r.Ranks[rank.Index()] }

// tally accumulates the results of requests by rank.
type tally struct {
	ranks [eelgrassbeam.RankCount]*rankTally
}

type rankTally struct {
	offered, inTime int
	latencies       *hdrhistogram.Histogram
	slotTime        time.Duration
	teams           map[eelgrassbeam.TeamID]float64
}

func newTally() *tally {
	t := &tally{}
	for i := range t.ranks {
		t.ranks[i] = &rankTally{
			latencies: hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
			teams:     make(map[eelgrassbeam.TeamID]float64),
		}
	}
	return t
}

func (t *tally) recordOffered(request eelgrassbeam.Request) { t.ranks[request.Rank.Index()].offered++ }

func (t *tally) recordAnswered(request eelgrassbeam.Request, latency time.Duration, inTime bool) {
	r := t.ranks[request.Rank.Index()]
	_ = r.latencies.RecordValue(latency.Microseconds())
	r.teams[request.Team]++
	if inTime {
		r.inTime++
	}
}

func (t *tally) addSlotTime(rank eelgrassbeam.Rank, slotTime time.Duration) {
	t.ranks[rank.Index()].slotTime += slotTime
}

func (t *tally) report(s Scenario, system string, maxInProgress float64) Report {
	report := Report{System: system, MaxInProgress: maxInProgress}
	capacity := float64(s.slots()) * s.Length.Seconds()
	for i, rank := range eelgrassbeam.Ranks() {
		r := t.ranks[i]
		share := r.slotTime.Seconds() / capacity
		demand := float64(r.offered) * s.serviceTimeFactor(rank) * meanServiceTime.Seconds() / capacity
		report.Ranks[i] = RankReport{
			Rank: rank, Offered: r.offered, InTime: float64(r.inTime) / float64(max(1, r.offered)),
			P50:       time.Duration(r.latencies.ValueAtQuantile(50)) * time.Microsecond,
			P99:       time.Duration(r.latencies.ValueAtQuantile(99)) * time.Microsecond,
			SlotShare: share, FloorRatio: share / min(s.floor(rank), demand), Fairness: r.fairness(),
		}
	}
	return report
}

// fairness returns Jain's fairness index of the teams' answered requests: 1 if all n teams have equally many, 1/n if
// one team has all of them, 0 without any.
func (r *rankTally) fairness() float64 {
	sum, squares := 0.0, 0.0
	for _, answers := range r.teams {
		sum += answers
		squares += answers * answers
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (teamsPerRank * squares)
}
