// Package surveyor measures what control costs with real entry processes of growing number.
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
	// Daemon is the path of the daemon's program.
	Daemon string
	// Sizes are the numbers of entries; at most a few hundred.
	Sizes []int
	// Changes is the number of configuration changes at each size.
	Changes int
	// Settle is the time before a measurement; Measure is its length.
	Settle, Measure time.Duration
	// Configuration is the first configuration that is stored.
	Configuration eelgrassbeam.Configuration
	Clock         eelgrassbeam.Clock
	// Output receives the tables.
	Output io.Writer
}

// Surveyor runs the measurements one after the other.
type Surveyor struct{ config Config }

// New returns a Surveyor.
func New(config Config) *Surveyor { return &Surveyor{config: config} }

// Row is what was measured at one number of entries.
type Row struct {
	Entries int
	// PlatformCalls is the number of the platform's calls a second of all entries; Watches those that wait.
	PlatformCalls, Watches float64
	// ControlBytes and PlatformBytes are bytes a second of one entry, sent and received.
	ControlBytes, PlatformBytes float64
	// CPU is the share of a core that one entry uses.
	CPU float64
	// Resident and Heap are bytes of one entry.
	Resident, Heap float64
	// InForceMedian and InForceWorst are times from the store's change to the last entry.
	InForceMedian, InForceWorst time.Duration
}

// Run measures each size and prints the tables.
func (s *Surveyor) Run(ctx context.Context) error {
	var rows []Row
	for _, size := range s.config.Sizes {
		row, err := s.measure(ctx, size)
		if err != nil {
			return fmt.Errorf("%d entries: %w", size, err)
		}
		rows = append(rows, row)
	}
	return s.print(rows)
}

func (s *Surveyor) measure(ctx context.Context, size int) (Row, error) {
	f, err := startFleet(ctx, s.config, size)
	if err != nil {
		return Row{}, err
	}
	defer f.stop()
	changes := newChanges(f, s.config)
	if _, err := changes.apply(ctx); err != nil {
		return Row{}, err
	}
	s.pause(ctx, s.config.Settle)
	before, err := f.sample(ctx)
	if err != nil {
		return Row{}, err
	}
	s.pause(ctx, s.config.Measure)
	after, err := f.sample(ctx)
	if err != nil {
		return Row{}, err
	}
	row := rowOf(size, before, after)
	row.InForceMedian, row.InForceWorst, err = changes.times(ctx, s.config.Changes)
	return row, err
}

func (s *Surveyor) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.config.Clock.After(d):
	}
}

// rowOf averages two samples. Bytes between entries are counted by the calling side, and each is sent once and received
// once, so that an entry's share is twice the average.
func rowOf(size int, before, after sample) Row {
	seconds, entries := after.at.Sub(before.at).Seconds(), float64(size)
	return Row{
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
