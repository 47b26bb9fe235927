// Package slowstarter implements slow start: it decides how much work a cold upstream, site or region gets.
package slowstarter

import (
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// startShare is the share of its full slots with which a cold target, such as an upstream or a region, starts.
const startShare = 0.1

// Config configures a SlowStarter.
type Config struct {
	Clock eelgrassbeam.Clock
}

// SlowStarter records the time since which each target is in use. It is safe for concurrent use.
type SlowStarter[Target comparable] struct {
	config Config
	mu     sync.Mutex
	starts map[Target]time.Time
}

// New returns a SlowStarter without targets.
func New[Target comparable](config Config) *SlowStarter[Target] {
	return &SlowStarter[Target]{config: config, starts: make(map[Target]time.Time)}
}

// Start records that the target is in use from now on; a known target keeps its start time.
func (s *SlowStarter[Target]) Start(target Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.starts[target]; !ok {
		s.starts[target] = s.config.Clock.Now()
	}
}

// Forget removes the target, which is cold when it is started again.
func (s *SlowStarter[Target]) Forget(target Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starts, target)
}

// Retain removes all targets but the given ones.
func (s *SlowStarter[Target]) Retain(targets map[Target]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target := range s.starts {
		if !targets[target] {
			delete(s.starts, target)
		}
	}
}

// Slots returns how many of its full slots the target may use now; it starts an unknown target.
func (s *SlowStarter[Target]) Slots(target Target, full int, slowStart time.Duration) int {
	s.Start(target)
	s.mu.Lock()
	age := s.config.Clock.Now().Sub(s.starts[target])
	s.mu.Unlock()
	return Slots(full, age, slowStart)
}

// Share returns the share of its full work, 0 to 1, that a target gets at the age: startShare at age zero, rising
// linearly to 1 at slowStart. With a slowStart of zero it is 1 at once.
func Share(age, slowStart time.Duration) float64 {
	if age >= slowStart {
		return 1
	}
	return startShare + (1-startShare)*max(0, float64(age)/float64(slowStart))
}

// Slots returns how many of its full slots a target may use at the age: at least one, unless full is zero.
func Slots(full int, age, slowStart time.Duration) int {
	if full <= 0 {
		return 0
	}
	return max(1, int(float64(full)*Share(age, slowStart)))
}

// NextStep returns the time until Slots rises next, at least 1 ms; false if it is already at full.
func NextStep(full int, age, slowStart time.Duration) (time.Duration, bool) {
	now := Slots(full, age, slowStart)
	if now >= full {
		return 0, false
	}
	share := (float64(now+1)/float64(full) - startShare) / (1 - startShare)
	return max(time.Millisecond, time.Duration(share*float64(slowStart))-age), true
}

// FullSlots returns the slots of a warm upstream: zero if it is not live or is drained, else the slots configured
// for the service or by an exception for the upstream, scaled by the weights of the upstream, its zone and its
// region.
func FullSlots(config *eelgrassbeam.Configuration, upstream eelgrassbeam.Upstream, now time.Time) int {
	service, ok := config.Defaults.Service(upstream.Service)
	if !ok || upstream.State != eelgrassbeam.InstanceLive || config.IsUpstreamDrained(upstream, now) {
		return 0
	}
	slots := float64(service.SlotsPerUpstream)
	if e, ok := config.Exception(eelgrassbeam.SettingSlots, eelgrassbeam.TargetUpstream, string(upstream.ID), now); ok {
		slots = e.Number()
	}
	weight := weightOf(config, eelgrassbeam.TargetUpstream, string(upstream.ID), now) *
		weightOf(config, eelgrassbeam.TargetZone, string(upstream.Zone), now) *
		weightOf(config, eelgrassbeam.TargetRegion, string(upstream.Region), now)
	if weight == 0 {
		return 0
	}
	return max(1, int(slots*weight))
}

func weightOf(config *eelgrassbeam.Configuration, kind eelgrassbeam.TargetKind, target string, now time.Time) float64 {
	if e, ok := config.Exception(eelgrassbeam.SettingWeight, kind, target, now); ok {
		return e.Number()
	}
	return 1
}
