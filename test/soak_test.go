package test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// soakSettle is the time after a disruption during which time bounds are not checked. It is the longest settling
	// time of any example user's installation.
	soakSettle = 4 * time.Second
	// soakConfigDelay is the time within which a stored configuration must be in force.
	soakConfigDelay = 2500 * time.Millisecond
	// soakEvacuationDelay is the time within which a stored evacuation must be in force.
	soakEvacuationDelay = 5 * time.Second
	// soakRecovery is the time within which each entry must serve requests again.
	soakRecovery = 15 * time.Second
	// soakTimeoutSlack is how long after a route's timeout the final response may still arrive.
	soakTimeoutSlack = 500 * time.Millisecond
	// soakCloseDelay is the time in which a response that ended with its connection reaches its caller, on slowed links too.
	soakCloseDelay = time.Second
	// soakCloseRace is the time within which a request that no backend executed may fail without a response: the entry
	// may have closed the idle connection while the request was on its way.
	soakCloseRace = 200 * time.Millisecond
	// soakStoreTimeout bounds the retries of the test's own writes to the store.
	soakStoreTimeout = 20 * time.Second
	// soakRetryRatio and soakRetrySlack limit the repeated executions to a share of the requests plus a fixed number.
	// They equal budget_ratio and budget_slack in the entries' settings.
	soakRetryRatio  = 0.2
	soakRetrySlack  = 60
	soakCallerCount = 12
	// soakMinAnswered is the minimum share of requests that a recovered fleet answers.
	soakMinAnswered = 0.9
)

var (
	soakSeed      = flag.Uint64("soak.seed", 0, "run only the schedule of this seed")
	soakSeeds     = flag.Int("soak.seeds", 0, "number of new seeds to run, starting with the current Unix time")
	soakRestores  = flag.Bool("soak.restores", true, "let the schedules of -soak.seed and -soak.seeds draw restorations of the store")
	soakLength    = flag.Duration("soak.length", 8*time.Second, "length of the schedule of disruptions")
	soakScale     = flag.Int("soak.scale", 1, "factor for the number of entries (5) and backends (9)")
	soakParallel  = flag.Int("soak.parallel", 2, "number of seeds that run concurrently")
	soakUnguarded = flag.String("soak.unguarded", "", "comma-separated names of the guards to disable in the entries")
	soakLogDir    = flag.String("soak.keep", "", "directory to which the logs of failed seeds are copied")
)

// soakCase identifies a schedule: the seed determines its disruptions, which are spread over the length.
type soakCase struct {
	seed   uint64
	length time.Duration
	// restores lets the schedule draw restorations of the store. Without it, seeds of before there were any have the
	// schedules that they had.
	restores bool
}

// soakRegressions are the cases that run by default, and so in CI: each seed that has ever failed, with its cause in
// docs/SOAK.md, two more, and one with a restoration of the store.
var soakRegressions = []soakCase{
	{seed: 1, length: 8 * time.Second},
	{seed: 2, length: 8 * time.Second},
	{seed: 1796381179, length: 12 * time.Second},
	{seed: 1796381198, length: 12 * time.Second},
	{seed: 1796381503, length: 12 * time.Second},
	{seed: 1796381518, length: 12 * time.Second},
	{seed: 1796383043, length: 12 * time.Second},
	{seed: 23, length: 12 * time.Second, restores: true},
	{seed: 1796624093, length: 12 * time.Second, restores: true},
}

// soak is the state of one soak test.
type soak struct {
	t           *testing.T
	fleet       *soakFleet
	callers     *soakCallers
	disruptions disruptions
	locks       sync.Map
	began       time.Time
	length      time.Duration
}

func TestSoak(t *testing.T) {
	cases := soakRegressions
	switch {
	case *soakSeed > 0:
		cases = []soakCase{{seed: *soakSeed, length: *soakLength, restores: *soakRestores}}
	case *soakSeeds > 0:
		cases = nil
		first := uint64(time.Now().Unix())
		for i := range *soakSeeds {
			cases = append(cases, soakCase{seed: first + uint64(i), length: *soakLength, restores: *soakRestores})
		}
	}
	running := make(chan struct{}, *soakParallel)
	var group errgroup.Group
	for _, c := range cases {
		running <- struct{}{}
		group.Go(func() error {
			defer func() { <-running }()
			t.Run(fmt.Sprint("seed=", c.seed), func(t *testing.T) { runSoak(t, c) })
			return nil
		})
	}
	_ = group.Wait()
}

func runSoak(t *testing.T, c soakCase) {
	s := &soak{t: t, length: c.length, fleet: newSoakFleet(t, *soakScale)}
	t.Cleanup(s.saveLogs)
	s.callers = &soakCallers{fleet: s.fleet}
	schedule := newSchedule(c)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("reproduce with: go test -race ./test -run 'TestSoak$' -soak.seed=%d -soak.length=%s -soak.restores=%t -soak.scale=%d\n%s",
				c.seed, c.length, c.restores, *soakScale, formatSchedule(schedule))
		}
	})
	if err := s.waitServing(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load errgroup.Group
	for i := range soakCallerCount * *soakScale {
		load.Go(func() error {
			s.callers.run(ctx, c.seed*1000+uint64(i))
			return nil
		})
	}
	load.Go(func() error {
		s.callers.flood(ctx, c.seed)
		return nil
	})
	var probes errgroup.Group
	for _, e := range s.fleet.entries {
		probes.Go(func() error {
			return versionProbe{callers: s.callers, entry: e, disruptions: &s.disruptions}.run(ctx)
		})
	}
	s.runSchedule(schedule)
	recoveryErr := s.waitServing()
	<-time.After(soakSettle) // entries disrupted at the end of the schedule may still be settling
	share := s.answeredShare()
	cancel()
	_ = load.Wait()
	if err := probes.Wait(); err != nil {
		t.Error(err)
	}
	if recoveryErr != nil {
		t.Error(recoveryErr)
	}
	if share < soakMinAnswered {
		t.Errorf("%.3f of the requests answered after the last disruption: want at least %g", share, soakMinAnswered)
	}
	s.check()
}

// runSchedule runs all disruptions of the schedule and returns once the last one has ended.
func (s *soak) runSchedule(schedule []disruption) {
	s.began = time.Now()
	var group errgroup.Group
	for _, d := range schedule {
		group.Go(func() error {
			<-time.After(d.at)
			if err := actionOf(d.kind)(s, d); err != nil {
				s.t.Errorf("%s: %v", d, err)
			}
			return nil
		})
	}
	<-time.After(s.length)
	_ = group.Wait()
}

// waitServing waits until each entry relays a backend's response, for at most soakRecovery each.
func (s *soak) waitServing() error {
	client := newClient(1, time.Second)
	defer client.CloseIdleConnections()
	for _, e := range s.fleet.entries {
		out, err := poll(soakRecovery, func() (string, bool, error) {
			record, _ := s.callers.exchange(client, "http://"+e.addresses["front"], http.MethodGet, "/s/", "0", time.Millisecond, e)
			return "", record.err == nil && record.fromBackend, record.err
		})
		if err != nil {
			return fmt.Errorf("%s did not serve requests within %s: %w\n%s%s", e.name, soakRecovery, err, out, e.process.logTail())
		}
	}
	return nil
}

// answeredShare returns the share of the requests sent in the next 2 s, without disruptions, that backends answer.
func (s *soak) answeredShare() float64 {
	from := time.Now()
	<-time.After(2 * time.Second)
	to := time.Now()
	<-time.After(soakTimeout / 2) // let outstanding requests end
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	sent, answered := 0, 0
	for _, record := range s.callers.records {
		if record.began.After(from) && record.began.Before(to) {
			sent++
			if record.err == nil && record.fromBackend {
				answered++
			}
		}
	}
	return float64(answered) / float64(max(sent, 1))
}

// check compares the callers' records with the backends' journals and reports each violation.
func (s *soak) check() {
	executions, err := s.fleet.executions()
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, p := range s.processes() {
		if err := p.checkLog(); err != nil {
			s.t.Error(err)
		}
	}
	c := soakCheck{records: s.callers.records, floods: s.callers.floods, executions: executions, evacuations: s.fleet.operator.evacuations, disrupted: s.disruptions.disrupted, closed: s.disruptions.closed}
	for _, violation := range c.violations() {
		s.t.Error(violation)
	}
	s.t.Log(c.summary())
}

func (s *soak) processes() []*process {
	found := []*process{s.fleet.store}
	for _, e := range s.fleet.entries {
		found = append(found, e.process)
	}
	for _, b := range s.fleet.backends {
		found = append(found, b.process)
	}
	return found
}

// saveLogs copies the logs of a failed test to the directory in -soak.keep, if that is set.
func (s *soak) saveLogs() {
	if !s.t.Failed() || *soakLogDir == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*soakLogDir, filepath.Base(s.t.Name())), os.DirFS(s.fleet.dir)); err != nil {
		s.t.Log(err)
	}
}
