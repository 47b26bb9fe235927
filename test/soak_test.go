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
	// soakTouch is how long an entry must have been undisturbed for bounds in time to hold; the longest of the users' sites.
	soakTouch = 4 * time.Second
	// soakConfig is within what time a configuration must be in force, soakRecovery within what time requests are served again.
	soakConfig   = 2500 * time.Millisecond
	soakRecovery = 15 * time.Second
	// soakLate is how long after a route's timeout the final answer may come.
	soakLate = 500 * time.Millisecond
	// soakRead is the time from which on a connection's end without an answer can't be a crossing of both ends.
	soakRead = 200 * time.Millisecond
	// soakWait bounds what the soak itself waits for the store.
	soakWait = 20 * time.Second
	// soakBudgetShare and soakBudgetSlack bound runs beyond the first.
	soakBudgetShare = 0.2
	soakBudgetSlack = 60
	soakCallers     = 12
	// soakServed is the least share of requests that a recovered fleet answers.
	soakServed = 0.9
)

var (
	soakSeed     = flag.Uint64("soak.seed", 0, "play the schedule of this seed only")
	soakSeeds    = flag.Int("soak.seeds", 0, "play so many fresh seeds")
	soakLength   = flag.Duration("soak.length", 8*time.Second, "how long disturbances come")
	soakScale    = flag.Int("soak.scale", 1, "multiplies the 15 processes")
	soakParallel = flag.Int("soak.parallel", 2, "seeds at once")
	soakUnguard  = flag.String("soak.unguarded", "", "guards that the entries run without")
	soakKeep     = flag.String("soak.keep", "", "directory that keeps the logs of failed seeds")
)

// soakCase is a schedule: the seed draws it over the length.
type soakCase struct {
	seed   uint64
	length time.Duration
}

// soakRegressions are what CI plays: each seed that ever failed, with its cause in docs/SOAK.md, and two more.
var soakRegressions = []soakCase{
	{seed: 1, length: 8 * time.Second},
	{seed: 2, length: 8 * time.Second},
	{seed: 1796381179, length: 12 * time.Second},
	{seed: 1796381198, length: 12 * time.Second},
	{seed: 1796381503, length: 12 * time.Second},
	{seed: 1796381518, length: 12 * time.Second},
	{seed: 1796383043, length: 12 * time.Second},
}

// soak is one run.
type soak struct {
	t        *testing.T
	fleet    *fleet
	callers  *callers
	troubles troubles
	turns    sync.Map
	began    time.Time
	length   time.Duration
}

func TestSoak(t *testing.T) {
	cases := soakRegressions
	switch {
	case *soakSeed > 0:
		cases = []soakCase{{seed: *soakSeed, length: *soakLength}}
	case *soakSeeds > 0:
		cases = nil
		first := uint64(time.Now().Unix())
		for i := range *soakSeeds {
			cases = append(cases, soakCase{seed: first + uint64(i), length: *soakLength})
		}
	}
	slots := make(chan struct{}, *soakParallel)
	var group errgroup.Group
	for _, c := range cases {
		slots <- struct{}{}
		group.Go(func() error {
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed=", c.seed), func(t *testing.T) { playSoak(t, c) })
			return nil
		})
	}
	_ = group.Wait()
}

func playSoak(t *testing.T, c soakCase) {
	s := &soak{t: t, length: c.length, fleet: newFleet(t, *soakScale)}
	t.Cleanup(s.keep)
	s.callers = &callers{fleet: s.fleet}
	schedule := plan(c.seed, c.length)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("play again: go test -race ./test -run 'TestSoak$' -soak.seed=%d -soak.length=%s -soak.scale=%d\n%s",
				c.seed, c.length, *soakScale, planText(schedule))
		}
	})
	if err := s.awaitService(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load errgroup.Group
	for i := range soakCallers * *soakScale {
		load.Go(func() error {
			s.callers.run(ctx, c.seed*1000+uint64(i))
			return nil
		})
	}
	var probes errgroup.Group
	for _, e := range s.fleet.entries {
		probes.Go(func() error {
			return versionProbe{callers: s.callers, entry: e, troubles: &s.troubles}.run(ctx)
		})
	}
	s.disturb(schedule)
	recovery := s.awaitService()
	<-time.After(soakTouch) // what was disturbed is bound by nothing before
	served := s.servedWhileCalm()
	cancel()
	_ = load.Wait()
	if err := probes.Wait(); err != nil {
		t.Error(err)
	}
	if recovery != nil {
		t.Error(recovery)
	}
	if served < soakServed {
		t.Errorf("%.3f of the requests answered after all disturbances: want %g", served, soakServed)
	}
	s.check()
}

// disturb carries the schedule out and returns when all of it is over.
func (s *soak) disturb(schedule []disturbance) {
	s.began = time.Now()
	var group errgroup.Group
	for _, d := range schedule {
		group.Go(func() error {
			<-time.After(d.at)
			if err := acts[d.kind](s, d); err != nil {
				s.t.Errorf("%s: %v", d, err)
			}
			return nil
		})
	}
	<-time.After(s.length)
	_ = group.Wait()
}

// awaitService waits until each entry answers requests.
func (s *soak) awaitService() error {
	client := newClient(1, time.Second)
	defer client.CloseIdleConnections()
	for _, e := range s.fleet.entries {
		out, err := poll(soakRecovery, func() (string, bool, error) {
			record, _ := s.callers.exchange(client, "http://"+e.ports["front"], http.MethodGet, "/s/", "0", time.Millisecond, e)
			return "", record.err == nil && record.isBackends, record.err
		})
		if err != nil {
			return fmt.Errorf("%s does not serve within %s: %w\n%s%s", e.name, soakRecovery, err, out, e.process.tail())
		}
	}
	return nil
}

// servedWhileCalm returns the share of requests that are answered while nothing is disturbed.
func (s *soak) servedWhileCalm() float64 {
	from := time.Now()
	<-time.After(2 * time.Second)
	to := time.Now()
	<-time.After(soakTimeout / 2)
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	sent, answered := 0, 0
	for _, record := range s.callers.records {
		if record.began.After(from) && record.began.Before(to) {
			sent++
			if record.err == nil && record.isBackends {
				answered++
			}
		}
	}
	return float64(answered) / float64(max(sent, 1))
}

// check compares what callers saw with what backends ran.
func (s *soak) check() {
	runs, err := s.fleet.runs()
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, p := range s.processes() {
		if err := p.checkLog(); err != nil {
			s.t.Error(err)
		}
	}
	c := soakCheck{records: s.callers.records, runs: runs, touched: s.troubles.touched}
	for _, fault := range c.faults() {
		s.t.Error(fault)
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

// keep copies the logs of a failed run to where the flag says.
func (s *soak) keep() {
	if !s.t.Failed() || *soakKeep == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(*soakKeep, filepath.Base(s.t.Name())), os.DirFS(s.fleet.dir)); err != nil {
		s.t.Log(err)
	}
}
