package measurer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/slowstarter"
)

const regionRunLength = 10 * time.Second

func regionScenarios() map[string]RegionScenario {
	sites := Sites()
	return map[string]RegionScenario{
		"booking": {Site: sites[0].WithLength(regionRunLength, seed), ZoneDelay: 3 * time.Millisecond, RegionDelay: 20 * time.Millisecond},
		"orders":  {Site: sites[2].WithLength(regionRunLength, seed), ZoneDelay: 5 * time.Millisecond, RegionDelay: 35 * time.Millisecond},
	}
}

func TestLocalZonePreference(t *testing.T) {
	for name, s := range regionScenarios() {
		t.Run(name, func(t *testing.T) {
			table := newLatencyTable(t)
			s.Site = s.Site.WithDemand(0.3, 0.3, 0.4)
			for _, load := range [][2]float64{{0.7, 0.7}, {1.5, 0.1}} {
				s.ZoneLoad = load
				for _, useRendezvous := range []bool{false, true} {
					report, crossZoneShare := MeasureRegion(s, useRendezvous)
					table.add(fmt.Sprintf("zones %.1f and %.1f, %.0f%% left their zone", load[0], load[1], 100*crossZoneShare), report)
					is.New(t).True(report.MaxInProgress <= 1)
				}
			}
			table.print()
		})
	}
}

func TestShiftRateStaysUnderCap(t *testing.T) {
	for name, s := range regionScenarios() {
		t.Run(name, func(t *testing.T) {
			is, table := is.New(t), newLatencyTable(t)
			s.Site = s.Site.WithDemand(0.4, 0.3, 0.3)
			s.ZoneLoad, s.RemoteLoad, s.ShiftCap, s.SlowStart = [2]float64{2, 2}, 0.5, 100, 10*time.Second
			for _, granted := range []bool{true, false} {
				report := MeasureShift(s, granted)
				load := fmt.Sprintf("%d shifted, at most %d a second, %d early", report.Shifted, report.MaxPerSecond, report.MaxPerSecondEarly)
				table.add("home, "+load, report.Home)
				table.add("remote, "+load, report.Remote)
				is.Equal(report.MaxPerSecond <= int(s.ShiftCap), granted)
				is.Equal(float64(report.MaxPerSecondEarly) <= s.ShiftCap*slowstarter.Share(s.SlowStart/earlyDivisor, s.SlowStart), granted)
				is.True(report.Shifted > 0)
				is.True(report.Remote.MaxInProgress <= 1)
				is.True(report.Remote.Rank(eelgrassbeam.RankUrgent).Offered > 0)
			}
			table.print()
		})
	}
}
