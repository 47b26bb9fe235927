package demonstrator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/changer"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	shiftSampleInterval = 20 * time.Millisecond
	shiftWindow         = time.Second
	drainID             = "experiment-drain"
)

// drainRegion drains the first place's region by an exception.
func drainRegion(ctx context.Context, s *system) error {
	return s.change(ctx, func(c eelgrassbeam.Configuration) (eelgrassbeam.Configuration, error) {
		return c.WithExceptions(append(slices.Clone(c.Exceptions), eelgrassbeam.Exception{
			ID: drainID, Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion,
			Target: string(s.plan.Places[0].Region), Value: "true", Reason: "experiment", Author: "experiment",
		})), nil
	})
}

// liftDrain removes the exception of drainRegion.
func liftDrain(ctx context.Context, s *system) error {
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
	_, err = changer.New(changer.Config{Store: store, Clock: s.clock, Log: s.log}).Change(ctx, mutate, "experiment", "")
	return err
}

// killRegion ends the first place's region, entries and backend servers, without a word.
func killRegion(_ context.Context, s *system) error {
	region := s.plan.Places[0].Region
	for _, entry := range s.entries {
		if entry.place.Region == region {
			entry.kill()
		}
	}
	for _, server := range s.regionServers[region] {
		_ = server.Close()
	}
	return nil
}

// shiftWatch samples how many shifted requests each region has accepted.
type shiftWatch struct {
	system *system

	mu      sync.Mutex
	samples []shiftSample
	most    int64
}

// shiftSample is the sums of accepted requests at one time.
type shiftSample struct {
	at       time.Time
	accepted map[eelgrassbeam.RegionID]int64
}

// run samples until the context ends.
func (w *shiftWatch) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.system.clock.After(shiftSampleInterval):
			w.sample()
		}
	}
}

func (w *shiftWatch) sample() {
	now := shiftSample{at: w.system.clock.Now(), accepted: make(map[eelgrassbeam.RegionID]int64)}
	for _, entry := range w.system.entries {
		now.accepted[entry.place.Region] += entry.Shifted()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples = slices.DeleteFunc(w.samples, func(s shiftSample) bool { return now.at.Sub(s.at) > shiftWindow })
	w.samples = append(w.samples, now)
	for region, accepted := range now.accepted {
		w.most = max(w.most, accepted-w.samples[0].accepted[region])
	}
}

// greatest returns the most requests that one region accepted between two samples at most a second apart.
func (w *shiftWatch) greatest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}
