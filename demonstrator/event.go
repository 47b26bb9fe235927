package demonstrator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/configwriter"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	shiftSampleInterval = 20 * time.Millisecond
	shiftWindow         = time.Second
	drainID             = "experiment-drain"
)

// drainRegion drains the region of the first location with a configuration exception.
func drainRegion(ctx context.Context, s *system) error {
	return s.change(ctx, func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		return c.WithExceptions(append(slices.Clone(c.Exceptions), eelgrassbeam.Exception{
			ID: drainID, Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion,
			Target: string(s.plan.Locations[0].Region), Value: "true", Reason: "experiment", Author: "experiment",
		})), nil
	})
}

// removeDrain removes the exception that drainRegion added.
func removeDrain(ctx context.Context, s *system) error {
	return s.change(ctx, func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		return c.WithExceptions(slices.DeleteFunc(slices.Clone(c.Exceptions), func(e eelgrassbeam.Exception) bool {
			return e.ID == drainID
		})), nil
	})
}

func (s *system) change(ctx context.Context, mutate func(eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error)) error {
	store, err := platform.New(platform.Config{URL: s.url, Clock: s.clock, Log: s.log})
	if err != nil {
		return err
	}
	_, err = configwriter.New(configwriter.Config{Store: store, Clock: s.clock, Log: s.log}).Change(ctx, mutate, "experiment", "")
	return err
}

// killRegion stops the entries and backend servers in the region of the first location at once, without draining.
// The platform's instance list still contains them, as after a crash.
func killRegion(_ context.Context, s *system) error {
	region := s.plan.Locations[0].Region
	for _, entry := range s.entries {
		if entry.location.Region == region {
			entry.kill()
		}
	}
	for _, server := range s.regionServers[region] {
		_ = server.Close()
	}
	return nil
}

// shiftSampler samples the number of shifted requests that each region has accepted from other regions.
type shiftSampler struct {
	system *system

	mu          sync.Mutex
	samples     []shiftSample
	maxAccepted int64
}

// shiftSample holds, for one point in time, the number of shifted requests that each region has accepted since the
// start.
type shiftSample struct {
	at       time.Time
	accepted map[eelgrassbeam.RegionID]int64
}

// run takes a sample at each interval until the context ends. It always returns nil.
func (s *shiftSampler) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.system.clock.After(shiftSampleInterval):
			s.sample()
		}
	}
}

func (s *shiftSampler) sample() {
	now := shiftSample{at: s.system.clock.Now(), accepted: make(map[eelgrassbeam.RegionID]int64)}
	for _, entry := range s.system.entries {
		now.accepted[entry.location.Region] += entry.AcceptedShiftedRequests()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = slices.DeleteFunc(s.samples, func(old shiftSample) bool { return now.at.Sub(old.at) > shiftWindow })
	s.samples = append(s.samples, now)
	for region, accepted := range now.accepted {
		s.maxAccepted = max(s.maxAccepted, accepted-s.samples[0].accepted[region])
	}
}

// maxShift returns the highest number of shifted requests that one region accepted within shiftWindow.
func (s *shiftSampler) maxShift() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxAccepted
}
