package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// moved returns the share of blocks that a region gets at the age after its drain was lifted.
func moved(p *Placer, age time.Duration) float64 {
	const blocks = 2000
	drained := settings(1, eelgrassbeam.Exception{
		ID: "x", Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetRegion, Target: "r0", Value: "true",
	})
	back := settings(1)
	drained.Defaults.SlowStart, back.Defaults.SlowStart = eelgrassbeam.Seconds(10), eelgrassbeam.Seconds(10)
	back.Version = drained.Version + 1
	fleet := newFleet(3, 2, 4)
	p.Place(fleet, drained, client(0), "r0", noon)
	p.Place(fleet, back, client(0), "r0", noon)
	count := 0
	for i := range blocks {
		if got, _ := p.Place(fleet, back, client(i), "r0", noon.Add(age)); got.Region == "r0" {
			count++
		}
	}
	return float64(count) / blocks
}

func TestRegionComesBackBitByBit(t *testing.T) {
	t.Run("its part of the blocks rises over the slow start", func(t *testing.T) {
		is := is.New(t)
		first, half, full := moved(New(Config{}), 0), moved(New(Config{}), 5*time.Second), moved(New(Config{}), 10*time.Second)
		is.True(first > 0.05 && first < 0.15) // a tenth at first
		is.True(half > 0.5 && half < 0.6)
		is.Equal(full, 1.0)
	})
	t.Run("without the ramp it gets all at once", func(t *testing.T) {
		p := New(Config{})
		p.skipsRamp = true
		is.New(t).Equal(moved(p, 0), 1.0)
	})
	t.Run("a region that was never out of use is not cold", func(t *testing.T) {
		is := is.New(t)
		config := settings(1)
		config.Defaults.SlowStart = eelgrassbeam.Seconds(10)
		got, _ := New(Config{}).Place(newFleet(3, 2, 4), config, client(1), "r0", noon)
		is.Equal(got.Region, eelgrassbeam.RegionID("r0"))
	})
}
