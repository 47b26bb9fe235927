package resolver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// servedShare returns the share of client blocks that a region serves at the given time after its drain ended.
func servedShare(p *Resolver, age time.Duration) float64 {
	const blocks = 2000
	drained := settings(1, eelgrassbeam.Exception{
		ID: "x", Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion, Target: "r0", Value: "true",
	})
	restored := settings(1)
	drained.Defaults.SlowStart, restored.Defaults.SlowStart = eelgrassbeam.Seconds(10), eelgrassbeam.Seconds(10)
	restored.Version = drained.Version + 1
	fleet := newFleet(3, 2, 4)
	p.Resolve(fleet, drained, client(0), "r0", noon)
	p.Resolve(fleet, restored, client(0), "r0", noon)
	count := 0
	for i := range blocks {
		if got, _ := p.Resolve(fleet, restored, client(i), "r0", noon.Add(age)); got.Region == "r0" {
			count++
		}
	}
	return float64(count) / blocks
}

func TestRegionSlowStart(t *testing.T) {
	t.Run("its share of the blocks rises over the slow start", func(t *testing.T) {
		is := is.New(t)
		first, half, full := servedShare(New(Config{}), 0), servedShare(New(Config{}), 5*time.Second), servedShare(New(Config{}), 10*time.Second)
		is.True(first > 0.05 && first < 0.15) // starts at a tenth
		is.True(half > 0.5 && half < 0.6)
		is.Equal(full, 1.0)
	})
	t.Run("without slow start it gets all blocks at once", func(t *testing.T) {
		p := New(Config{})
		p.skipsSlowStart = true
		is.New(t).Equal(servedShare(p, 0), 1.0)
	})
	t.Run("a region that was never out of use has no slow start", func(t *testing.T) {
		is := is.New(t)
		config := settings(1)
		config.Defaults.SlowStart = eelgrassbeam.Seconds(10)
		got, _ := New(Config{}).Resolve(newFleet(3, 2, 4), config, client(1), "r0", noon)
		is.Equal(got.Region, eelgrassbeam.RegionID("r0"))
	})
}
