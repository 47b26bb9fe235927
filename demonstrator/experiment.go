package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/loadgenerator"
)

const (
	// The offered load of each rank without a flood, as a share of the service's capacity.
	urgentShare, standardShare, backgroundShare = 0.25, 0.2, 0.1
	// floodFactor is the offered load of a flooding rank, as a multiple of the service's capacity.
	floodFactor = 5
	// callersPerRank is the number of concurrent callers for each rank.
	callersPerRank = 2500
)

// Experiment configures a load experiment on a system with the deployment of one example user.
type Experiment struct {
	Plan    Plan
	Service eelgrassbeam.ServiceName
	// Length is the duration of each phase.
	Length time.Duration
	// Teams send equal shares of each rank's load.
	Teams []eelgrassbeam.TeamID
}

// phase is a part of an experiment. loads holds the offered load of each rank as a share of the service's capacity;
// event, unless nil, is called at the start of the phase.
type phase struct {
	name  string
	loads map[eelgrassbeam.Rank]float64
	event func(context.Context, *system) error
}

// phaseResult is the measurement of one rank in one phase.
type phaseResult struct {
	phase string
	rank  eelgrassbeam.Rank
	// offeredRate is the number of requests sent per second.
	offeredRate float64
	// inTimeRate is the number of requests per second that were answered within their deadline.
	inTimeRate float64
	// inTimeShare is the share of the sent requests that were answered within their deadline.
	inTimeShare float64
	p50, p99    time.Duration
	fairness    float64
	// notRun is the number of requests reported as not run.
	notRun  int
	unknown int
	lost    int
}

// Flood measures each rank under normal load and while the lowest, then the highest rank floods the service.
func (d *Demonstrator) Flood(ctx context.Context, e Experiment) error {
	normal := map[eelgrassbeam.Rank]float64{
		eelgrassbeam.RankUrgent: urgentShare, eelgrassbeam.RankStandard: standardShare, eelgrassbeam.RankBackground: backgroundShare,
	}
	return d.run(ctx, e, []phase{
		{name: "warm-up", loads: normal},
		{name: "calm", loads: normal},
		{name: "flood of background", loads: withLoad(normal, eelgrassbeam.RankBackground, floodFactor)},
		{name: "flood of urgent", loads: withLoad(normal, eelgrassbeam.RankUrgent, floodFactor)},
		{name: "calm again", loads: normal},
	})
}

// Shift measures how load moves to other regions when the first region is drained and when it fails, at 70% load.
func (d *Demonstrator) Shift(ctx context.Context, e Experiment) error {
	const load = 0.7
	loads := map[eelgrassbeam.Rank]float64{
		eelgrassbeam.RankUrgent: load / 2, eelgrassbeam.RankStandard: load / 4, eelgrassbeam.RankBackground: load / 4,
	}
	return d.run(ctx, e, []phase{
		{name: "warm-up", loads: loads},
		{name: "calm", loads: loads},
		{name: "region drained", loads: loads, event: drainRegion},
		{name: "drain lifted", loads: loads, event: removeDrain},
		{name: "region lost", loads: loads, event: killRegion},
		{name: "region still lost", loads: loads},
	})
}

func withLoad(loads map[eelgrassbeam.Rank]float64, rank eelgrassbeam.Rank, share float64) map[eelgrassbeam.Rank]float64 {
	changed := make(map[eelgrassbeam.Rank]float64, len(loads))
	for r, s := range loads {
		changed[r] = s
	}
	changed[rank] = share
	return changed
}

func (d *Demonstrator) run(ctx context.Context, e Experiment, phases []phase) error {
	s, err := start(ctx, e.Plan, d.config.Clock, d.config.Log)
	if err != nil {
		return err
	}
	var results []phaseResult
	shifts := &shiftSampler{system: s}
	samplerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.group.Go(func() error { return shifts.run(samplerCtx) })
	for i, p := range phases {
		measured, err := d.runPhase(ctx, s, e, p, i)
		if err != nil {
			cancel()
			return errors.Join(err, s.stop())
		}
		results = append(results, measured...)
	}
	service, _ := e.Plan.Configuration.Defaults.Service(e.Service)
	err = d.printResults(e, service, results)
	shed := 0
	for _, backend := range s.backends {
		shed += backend.Counts().Shed
	}
	_, printErr := fmt.Fprintf(d.config.Output, "requests shed by backend servers: %d; most requests shifted into a region within 1 s: %d (cap %g)\n",
		shed, shifts.maxShift(), e.Plan.Configuration.Defaults.ShiftCapPerSecond)
	cancel()
	return errors.Join(err, printErr, s.stop())
}

// runPhase calls the phase's event, then sends the loads of all ranks concurrently. It returns a result for each rank.
func (d *Demonstrator) runPhase(ctx context.Context, s *system, e Experiment, p phase, n int) ([]phaseResult, error) {
	if p.event != nil {
		if err := p.event(ctx, s); err != nil {
			return nil, err
		}
	}
	service, _ := e.Plan.Configuration.Defaults.Service(e.Service)
	results := make([]phaseResult, eelgrassbeam.RankCount)
	group, groupCtx := errgroup.WithContext(ctx)
	for i, rank := range eelgrassbeam.Ranks() {
		rate := p.loads[rank] * e.capacity(service)
		load := loadgenerator.New(loadgenerator.Config{
			Entries: s.addresses(), Mix: []loadgenerator.RequestKind{kindOf(service, rank, e.Teams)}, Rate: rate,
			Requests: int(rate * e.Length.Seconds()), Concurrency: callersPerRank, Seed: seed,
			Prefix: fmt.Sprintf("p%d-%s", n, rank), Clock: d.config.Clock,
		})
		group.Go(func() error {
			begin := d.config.Clock.Now()
			report, err := load.Run(groupCtx)
			if err == nil {
				results[i] = newPhaseResult(report, service, rank, d.config.Clock.Now().Sub(begin))
				results[i].phase = p.name
			}
			return err
		})
	}
	return results, group.Wait()
}

// capacity returns the number of requests per second that the service's slots can execute.
func (e Experiment) capacity(service eelgrassbeam.Service) float64 {
	return float64(e.Plan.Upstreams[e.Service]*service.SlotsPerUpstream) / e.Plan.ServiceTime.Seconds()
}

// kindOf returns a kind of request that matches a route of the rank, or the first route if the rank has none.
func kindOf(service eelgrassbeam.Service, rank eelgrassbeam.Rank, teams []eelgrassbeam.TeamID) loadgenerator.RequestKind {
	i := slices.IndexFunc(service.Routes, func(r eelgrassbeam.Route) bool { return r.Rank == rank && r.Method != "HEAD" })
	route := service.Routes[max(i, 0)]
	return loadgenerator.RequestKind{
		Service: service.Name, Rank: rank, Host: service.Hosts[0], Method: route.Method, Path: route.PathPrefix,
		Weight: 1, Teams: teams,
	}
}

func newPhaseResult(report *loadgenerator.Report, service eelgrassbeam.Service, rank eelgrassbeam.Rank, took time.Duration) phaseResult {
	tally := report.Groups[loadgenerator.Group{Service: service.Name, Rank: rank}]
	deadline := service.Policy(rank).Deadline.Duration
	inTime, byTeam := 0, make(map[eelgrassbeam.TeamID]int)
	for _, result := range report.Results {
		if result.Outcome == loadgenerator.Answered && result.Latency <= deadline {
			inTime++
			byTeam[result.Team]++
		}
	}
	return phaseResult{
		rank: rank, offeredRate: float64(tally.Sent) / took.Seconds(), inTimeRate: float64(inTime) / took.Seconds(),
		inTimeShare: float64(inTime) / float64(tally.Sent), p50: tally.Quantile(50), p99: tally.Quantile(99),
		fairness: fairnessOf(byTeam), notRun: tally.Outcomes[loadgenerator.NotRun], unknown: tally.Outcomes[loadgenerator.Unknown],
		lost: tally.Outcomes[loadgenerator.Lost],
	}
}

// fairnessOf returns Jain's fairness index of the teams' answered requests, which is 1 if all teams have equally many.
func fairnessOf(counts map[eelgrassbeam.TeamID]int) float64 {
	sum, squares := 0.0, 0.0
	for _, n := range counts {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(counts)) * squares)
}

func (d *Demonstrator) printResults(e Experiment, service eelgrassbeam.Service, results []phaseResult) error {
	capacity := e.capacity(service)
	var rows strings.Builder
	fmt.Fprintf(&rows, "%s: %d upstreams, capacity %.0f requests/s\n", service.Name, e.Plan.Upstreams[e.Service], capacity)
	rows.WriteString("phase\trank\toffered/s\tin time/s\tof capacity\tfloor\tin time\tp50\tp99\tfairness\tnot run\tunknown\tlost\t\n")
	for _, r := range results {
		fmt.Fprintf(&rows, "%s\t%s\t%.0f\t%.0f\t%.2f\t%.2f\t%.3f\t%s\t%s\t%.4f\t%d\t%d\t%d\t\n", r.phase, r.rank, r.offeredRate, r.inTimeRate,
			r.inTimeRate/capacity, service.Policy(r.rank).Floor, r.inTimeShare, r.p50, r.p99, r.fairness, r.notRun, r.unknown, r.lost)
	}
	table := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}
