package quotalimiter

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	simulatedStep   = 10 * time.Millisecond
	simulatedLength = 16 * time.Second
	simulatedZones  = 6
	// simulatedWindow, overage and slack are the bound on a team's requests: (rate x window + burst) x (1 + overage) + slack.
	simulatedWindow = 5 * time.Second
	overage         = 0.1
	slack           = 20
)

// strategy decides on a team's request at an entry.
type strategy interface {
	admit(entry, team int) bool
	// step advances the time.
	step()
}

// simulation plays entries whose callers belong to teams, without a network.
type simulation struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	entries []eelgrassbeam.Entry
	teams   []eelgrassbeam.Team
	demand  []float64 // requests per second by team
	// homes are the entries that the callers of each team use.
	homes [][]int
	// isDown and isCut tell which entries are gone, and which reach no other; group tells the side of each in a split.
	isDown, isCut []bool
	group         []int
	strategy      strategy
	admitted      [][]int // by team and step
	messages      int
	refusedBelow  int // requests refused to teams below their quota
	arrivedBelow  int
	hot           int // the team that is above its quota
}

func newSimulation(seed uint64, entries int) *simulation {
	s := &simulation{
		clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), random: rand.New(rand.NewPCG(seed, 1)), hot: -1,
		isDown: make([]bool, entries), isCut: make([]bool, entries), group: make([]int, entries),
	}
	for i := range entries {
		capacity := 0.16
		if i%5 == 0 {
			capacity = 0.8
		}
		s.entries = append(s.entries, eelgrassbeam.Entry{ID: eelgrassbeam.EntryID(fmt.Sprintf("e%03d", i)), Zone: eelgrassbeam.ZoneID(fmt.Sprint(i % simulatedZones)), Capacity: capacity})
	}
	for i := range 40 {
		perSecond := 30 * float64(entries) / math.Pow(float64(i+1), 0.8) / 14 // some 30 requests a second an entry, skewed
		s.demand = append(s.demand, perSecond)
		s.teams = append(s.teams, eelgrassbeam.Team{
			ID: eelgrassbeam.TeamID(fmt.Sprintf("t%02d", i)), Quota: eelgrassbeam.Quota{PerSecond: 1.6 * perSecond, Burst: 1.6 * perSecond},
		})
		s.homes = append(s.homes, s.drawHomes(i))
	}
	s.admitted = make([][]int, len(s.teams))
	return s
}

// drawHomes draws three entries of its zone, by capacity, for each of a team's callers.
func (s *simulation) drawHomes(team int) []int {
	var homes []int
	for range max(4, int(s.demand[team]/2)) {
		zone := s.random.IntN(simulatedZones)
		for range 3 {
			homes = append(homes, s.drawEntry(zone))
		}
	}
	return homes
}

func (s *simulation) drawEntry(zone int) int {
	for {
		at := s.random.IntN(len(s.entries))
		if at%simulatedZones == zone && s.random.Float64() < s.entries[at].Capacity {
			return at
		}
	}
}

// run plays the simulation; at each step it calls change with the time since the start.
func (s *simulation) run(change func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < simulatedLength; elapsed += simulatedStep {
		change(elapsed)
		for team := range s.teams {
			s.admitted[team] = append(s.admitted[team], s.arrivals(team))
		}
		s.strategy.step()
		s.clock.Advance(simulatedStep)
	}
}

// arrivals plays a team's requests of one step and returns how many were admitted.
func (s *simulation) arrivals(team int) int {
	admitted, mean := 0, s.demand[team]*simulatedStep.Seconds()
	for arrived := s.random.ExpFloat64(); arrived < mean; arrived += s.random.ExpFloat64() {
		entry := s.homes[team][s.random.IntN(len(s.homes[team]))]
		for s.isDown[entry] { // callers go to another entry of the zone
			entry = s.drawEntry(entry % simulatedZones)
		}
		ok := s.strategy.admit(entry, team)
		if ok {
			admitted++
		}
		if team != s.hot {
			s.arrivedBelow++
			if !ok {
				s.refusedBelow++
			}
		}
	}
	return admitted
}

// excess returns the largest number of a team's requests in a window as a share of the bound.
func (s *simulation) excess() float64 {
	worst, width := 0.0, int(simulatedWindow/simulatedStep)
	for team, counts := range s.admitted {
		quota := s.teams[team].Quota
		bound := (quota.PerSecond*simulatedWindow.Seconds()+quota.Burst)*(1+overage) + slack
		inWindow := 0
		for i, count := range counts {
			inWindow += count
			if i >= width {
				inWindow -= counts[i-width]
			}
			worst = max(worst, float64(inWindow)/bound)
		}
	}
	return worst
}

// falseRefusals returns the share of requests of teams below their quota that were refused.
func (s *simulation) falseRefusals() float64 {
	return float64(s.refusedBelow) / float64(max(s.arrivedBelow, 1))
}

// keeping is the strategy of this package: real limiters, whose messages arrive after a delay.
type keeping struct {
	s        *simulation
	limiters []*QuotaLimiter
	nextTick []time.Time
	busy     []bool
	events   []event
}

type event struct {
	at time.Time
	do func()
}

func newKeeping(s *simulation) *keeping {
	k := &keeping{s: s, busy: make([]bool, len(s.entries))}
	for i := range s.entries {
		k.limiters = append(k.limiters, k.newLimiter(i))
		k.nextTick = append(k.nextTick, s.clock.Now().Add(time.Duration(s.random.Int64N(int64(tick)))))
	}
	return k
}

func (k *keeping) newLimiter(entry int) *QuotaLimiter {
	log, _ := logrustest.NewNullLogger()
	return New(Config{
		Self: k.s.entries[entry], Clock: k.s.clock, Log: log, Registerer: prometheus.NewRegistry(), Overage: overage, Slack: slack,
		Teams: func() []eelgrassbeam.Team { return k.s.teams }, Entries: func() []eelgrassbeam.Entry { return k.reachable(entry) },
	})
}

// reachable returns the entries that the entry's gossip shows as live.
func (k *keeping) reachable(entry int) []eelgrassbeam.Entry {
	var live []eelgrassbeam.Entry
	for i, each := range k.s.entries {
		if i == entry || !k.s.isDown[i] && k.isConnected(entry, i) {
			live = append(live, each)
		}
	}
	return live
}

func (k *keeping) isConnected(a, b int) bool {
	return !k.s.isCut[a] && !k.s.isCut[b] && k.s.group[a] == k.s.group[b]
}

func (k *keeping) admit(entry, team int) bool {
	ok, _ := k.limiters[entry].Admit(&k.s.teams[team])
	return ok
}

func (k *keeping) after(delay time.Duration, do func()) {
	k.events = append(k.events, event{at: k.s.clock.Now().Add(delay), do: do})
}

func (k *keeping) step() {
	now := k.s.clock.Now()
	due := k.events
	k.events = nil
	for _, each := range due {
		if now.Before(each.at) {
			k.events = append(k.events, each)
			continue
		}
		each.do()
	}
	for i := range k.limiters {
		if !k.s.isDown[i] && !k.busy[i] && !now.Before(k.nextTick[i]) {
			k.nextTick[i] = now.Add(tick)
			k.tick(i)
		}
	}
}

// tick sends the report of an entry, if one is due.
func (k *keeping) tick(entry int) {
	limiter := k.limiters[entry]
	to, report, isDue := limiter.next()
	if !isDue {
		return
	}
	k.s.messages++
	k.busy[entry] = true
	at := slices.IndexFunc(k.s.entries, func(each eelgrassbeam.Entry) bool { return each.ID == to.ID })
	finish := func(answer Answer, err error) {
		k.busy[entry] = false
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		if err != nil {
			limiter.suspects[to.ID] = k.s.clock.Now().Add(suspicion)
		}
		limiter.apply(report, answer, err, k.s.clock.Now())
	}
	if k.s.isDown[at] || at != entry && !k.isConnected(entry, at) {
		k.after(callTimeout, func() { finish(Answer{}, errors.New("unreachable")) })
		return
	}
	oneWay := time.Duration(1+k.s.random.IntN(40)) * time.Millisecond
	k.after(oneWay, func() {
		answer := k.limiters[at].Keep(report)
		k.after(oneWay, func() { finish(answer, nil) })
	})
}

// parting is the strategy of fixed parts of the quotas by capacity, or of parts that follow the demand which gossip has
// carried to all entries some seconds later.
type parting struct {
	s              *simulation
	followsDemand  bool
	tokens         map[[2]int]float64
	tokensAt       map[[2]int]time.Time
	counts, demand map[[2]int]float64
	total          []float64
	countedAt      time.Time
}

func newParting(s *simulation, followsDemand bool) *parting {
	return &parting{
		s: s, followsDemand: followsDemand, tokens: make(map[[2]int]float64), tokensAt: make(map[[2]int]time.Time),
		counts: make(map[[2]int]float64), demand: make(map[[2]int]float64), total: make([]float64, len(s.teams)), countedAt: s.clock.Now(),
	}
}

func (p *parting) admit(entry, team int) bool {
	at, now, quota := [2]int{entry, team}, p.s.clock.Now(), p.s.teams[team].Quota
	p.counts[at]++
	part := p.s.entries[entry].Capacity / (0.288 * float64(len(p.s.entries)))
	if p.followsDemand && p.total[team] > 0 {
		part = p.demand[at] / p.total[team]
	}
	last, ok := p.tokensAt[at]
	if !ok {
		last, p.tokens[at] = now, max(1, quota.Burst*part)
	}
	p.tokens[at] = min(max(1, quota.Burst*part), p.tokens[at]+now.Sub(last).Seconds()*quota.PerSecond*part)
	p.tokensAt[at] = now
	if p.tokens[at] < 1 {
		return false
	}
	p.tokens[at]--
	return true
}

func (p *parting) step() {
	const gossipTime = 2 * time.Second
	if !p.followsDemand || p.s.clock.Now().Sub(p.countedAt) < gossipTime {
		return
	}
	p.countedAt = p.s.clock.Now()
	p.demand, p.counts = p.counts, make(map[[2]int]float64)
	clear(p.total)
	for at, count := range p.demand {
		p.total[at[1]] += count
	}
}

// scenario is a load on teams' quotas, in some cases with entries lost: these keep their part of the quotas, so that teams below
// their quota may be refused a little then.
type scenario struct {
	name         string
	losesEntries bool
	change       func(s *simulation, elapsed time.Duration)
}

func at(elapsed, moment time.Duration) bool { return elapsed == moment }

// makeHot multiplies the demand of a team.
func makeHot(team int, factor float64) func(*simulation, time.Duration) {
	return func(s *simulation, elapsed time.Duration) {
		if at(elapsed, 4*time.Second) {
			s.hot = team
			s.demand[team] *= factor
		}
	}
}

var scenarios = []scenario{
	{"skewed teams below their quotas", false, func(*simulation, time.Duration) {}},
	{"the largest team at 6 times its demand", false, makeHot(0, 6)},
	{"a small team at 7.5 times its demand", false, makeHot(30, 7.5)},
	{"a team moves to one zone", false, func(s *simulation, elapsed time.Duration) {
		if at(elapsed, 4*time.Second) {
			for i := range s.homes[1] {
				s.homes[1][i] = s.drawEntry(2)
			}
		}
	}},
	{"a hot team, a third of the entries killed", true, func(s *simulation, elapsed time.Duration) {
		makeHot(0, 6)(s, elapsed)
		for i := range s.isDown {
			s.isDown[i] = elapsed >= 6*time.Second && i/simulatedZones%3 == 1
		}
	}},
	{"a hot team, a sixth of the entries cut off", true, func(s *simulation, elapsed time.Duration) {
		makeHot(0, 6)(s, elapsed)
		for i := range s.isCut {
			s.isCut[i] = elapsed >= 6*time.Second && elapsed < 12*time.Second && i%6 == 1
		}
	}},
	{"a hot team, entries cut into halves", true, func(s *simulation, elapsed time.Duration) {
		makeHot(0, 6)(s, elapsed)
		for i := range s.group {
			s.group[i] = 0
			if elapsed >= 6*time.Second && elapsed < 12*time.Second {
				s.group[i] = i % 2
			}
		}
	}},
	{"a hot team, half of the entries restarted with nothing known", false, func(s *simulation, elapsed time.Duration) {
		makeHot(0, 6)(s, elapsed)
		if k, ok := s.strategy.(*keeping); ok && at(elapsed, 7*time.Second) {
			for i := range k.limiters {
				if i%2 == 0 {
					k.limiters[i] = k.newLimiter(i)
				}
			}
		}
	}},
	{"a hot team, the keeper and others restarted again and again", false, func(s *simulation, elapsed time.Duration) {
		makeHot(0, 7.5)(s, elapsed)
		k, ok := s.strategy.(*keeping)
		if !ok || elapsed < 5*time.Second || elapsed%time.Second != 0 {
			return
		}
		keeper := k.limiters[0].keeperEntry(s.clock.Now()).ID
		for i := range k.limiters {
			if s.entries[i].ID == keeper || s.random.IntN(5) == 0 {
				k.limiters[i] = k.newLimiter(i)
			}
		}
	}},
	{"a quota lowered to a fifth", false, func(s *simulation, elapsed time.Duration) {
		if at(elapsed, 4*time.Second) {
			s.hot = 0
			for i := range s.admitted[0] {
				s.admitted[0][i] = 0 // the lower quota binds from here on
			}
			s.teams = slices.Clone(s.teams)
			s.teams[0].Quota = eelgrassbeam.Quota{PerSecond: s.demand[0] / 5, Burst: s.demand[0] / 5}
		}
		if at(elapsed, 9*time.Second) {
			clear(s.admitted[0]) // one window later
		}
	}},
}

func play(each scenario, seed uint64, entries int, choose func(*simulation) strategy) *simulation {
	s := newSimulation(seed, entries)
	s.strategy = choose(s)
	s.run(func(elapsed time.Duration) { each.change(s, elapsed) })
	return s
}

func keep(s *simulation) strategy { return newKeeping(s) }

// Guards the quotas of all entries together under each load and failure: no window above the bound, and hardly a refusal to
// a team below its quota.
func TestQuotasAcrossEntries(t *testing.T) {
	for _, entries := range []int{10, 62} {
		for _, each := range scenarios {
			t.Run(fmt.Sprintf("%d entries, %s", entries, each.name), func(t *testing.T) {
				s := play(each, 1, entries, keep)
				t.Logf("%.2f of the bound, %.4f refused below, %.1f messages a second an entry", s.excess(), s.falseRefusals(), float64(s.messages)/simulatedLength.Seconds()/float64(entries))
				is := is.New(t)
				is.True(s.excess() <= 1)
				if each.losesEntries {
					is.True(s.falseRefusals() <= 0.05)
					return
				}
				is.True(s.falseRefusals() <= 0.001)
			})
		}
	}
}

// Shows that the bound is broken, and found so, without the limiter.
func TestQuotasWithoutLimiter(t *testing.T) {
	s := play(scenarios[1], 1, 62, func(s *simulation) strategy {
		k := newKeeping(s)
		for _, limiter := range k.limiters {
			limiter.isUnlimited = true
		}
		return k
	})
	is.New(t).True(s.excess() > 1.5)
}

// Compares the ways to divide quotas. Fixed parts and parts that follow the demand as gossip carries it refuse requests to
// teams below their quota even without a failure.
func TestWaysToDivideQuotas(t *testing.T) {
	ways := []struct {
		name   string
		choose func(*simulation) strategy
	}{
		{"fixed parts", func(s *simulation) strategy { return newParting(s, false) }},
		{"parts that follow the demand", func(s *simulation) strategy { return newParting(s, true) }},
		{"a keeper", keep},
	}
	for _, entries := range []int{10, 62} {
		refused := make([]float64, len(ways))
		for i, way := range ways {
			for _, each := range []scenario{scenarios[0], scenarios[1]} {
				s := play(each, 2, entries, way.choose)
				refused[i] = max(refused[i], s.falseRefusals())
				t.Logf("%d entries, %s, %s: %.2f of the bound, %.3f refused below", entries, way.name, each.name, s.excess(), s.falseRefusals())
			}
		}
		is.New(t).True(refused[2] < refused[0] && refused[2] < refused[1])
	}
}
