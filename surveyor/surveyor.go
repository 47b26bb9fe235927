// Package surveyor measures how the cost of control traffic and configuration changes grows with the number of entries.
// It runs real entry processes against a platform stand-in.
package surveyor

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// Config configures a Surveyor.
type Config struct {
	// Daemon is the path of the daemon's executable.
	Daemon string
	// Sizes are the numbers of entries to measure with, at most a few hundred each.
	Sizes []int
	// Changes is the number of configuration changes to time at each size.
	Changes int
	// Settle is the time to wait before a measurement; Measure is the length of the measurement.
	Settle, Measure time.Duration
	// Configuration is the configuration to store first. Later versions differ only in their change record.
	Configuration eelgrassbeam.Configuration
	Clock         eelgrassbeam.Clock
	// Output receives the tables.
	Output io.Writer
}

// Surveyor runs one measurement for each size, one after the other.
type Surveyor struct{ config Config }

// New returns a Surveyor.
func New(config Config) *Surveyor { return &Surveyor{config: config} }

// Measurement holds the results for one number of entries.
type Measurement struct {
	Entries int
	// PlatformCalls is the number of calls per second from all entries to the platform; Watches is the number of
	// watches in progress at the end.
	PlatformCalls, Watches float64
	// ControlBytes and PlatformBytes are the bytes per second that one entry exchanges, in both directions, with other
	// entries and with the platform.
	ControlBytes, PlatformBytes float64
	// CPU is the average CPU time of one entry as a fraction of one core.
	CPU float64
	// Resident and Heap are the average memory of one entry in bytes.
	Resident, Heap float64
	// PropagationMedian and PropagationMax are times from the start of writing a configuration version to the store
	// until the version is in force at all entries.
	PropagationMedian, PropagationMax time.Duration
}

// Run measures each size and prints the results.
func (s *Surveyor) Run(ctx context.Context) error {
	var measurements []Measurement
	for _, size := range s.config.Sizes {
		measurement, err := s.measure(ctx, size)
		if err != nil {
			return fmt.Errorf("%d entries: %w", size, err)
		}
		measurements = append(measurements, measurement)
	}
	return s.print(measurements)
}

func (s *Surveyor) measure(ctx context.Context, size int) (Measurement, error) {
	f, err := startFleet(ctx, s.config, size)
	if err != nil {
		return Measurement{}, err
	}
	defer f.stop()
	changes := newConfigurationWriter(f, s.config)
	if _, err := changes.apply(ctx); err != nil {
		return Measurement{}, err
	}
	s.pause(ctx, s.config.Settle)
	before, err := f.sample(ctx)
	if err != nil {
		return Measurement{}, err
	}
	s.pause(ctx, s.config.Measure)
	after, err := f.sample(ctx)
	if err != nil {
		return Measurement{}, err
	}
	measurement := newMeasurement(size, before, after)
	measurement.PropagationMedian, measurement.PropagationMax, err = changes.measureTimes(ctx, s.config.Changes)
	return measurement, err
}

func (s *Surveyor) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.config.Clock.After(d):
	}
}

// newMeasurement returns the average rates between two samples. The bytes between entries are counted at the calling
// side only, but each byte is sent by one entry and received by another, so an entry's share is twice the average.
func newMeasurement(size int, before, after sample) Measurement {
	seconds, entries := after.at.Sub(before.at).Seconds(), float64(size)
	return Measurement{
		Entries:       size,
		PlatformCalls: float64(after.calls-before.calls) / seconds,
		Watches:       float64(after.watches),
		ControlBytes:  2 * (after.controlBytes - before.controlBytes) / seconds / entries,
		PlatformBytes: (after.platformBytes - before.platformBytes) / seconds / entries,
		CPU:           (after.cpuSeconds - before.cpuSeconds) / seconds / entries,
		Resident:      after.resident / entries,
		Heap:          after.heap / entries,
	}
}
