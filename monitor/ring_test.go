package monitor

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/assigner"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}

func testEntry(region, zone, n int) eelgrassbeam.Entry {
	return eelgrassbeam.Entry{
		ID: eelgrassbeam.EntryID(fmt.Sprintf("e%d-%d-%d", region, zone, n)), State: eelgrassbeam.InstanceLive,
		Zone: eelgrassbeam.ZoneID(fmt.Sprintf("z%d-%d", region, zone)), Region: eelgrassbeam.RegionID(fmt.Sprint("r", region)),
		Address: netip.MustParseAddrPort("127.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"),
	}
}

func checkPlan(live []eelgrassbeam.Entry) (maxFanIn int, errs []string) {
	plan := newWatchPlan(assigner.SortByScore(ringKey, live))
	for i, entry := range plan.ranked {
		maxFanIn = max(maxFanIn, plan.fanIn[i])
		watchers := plan.watchersOf(entry.ID)
		if len(watchers) != min(WatcherCount, len(live)-1) || slices.Contains(watchers, entry.ID) {
			errs = append(errs, fmt.Sprint(entry.ID, " has wrong watchers: ", watchers))
		}
	}
	return maxFanIn, errs
}

func TestFanIn(t *testing.T) {
	t.Run("any fleet", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			var live []eelgrassbeam.Entry
			for region := range rapid.IntRange(1, 4).Draw(t, "regions") {
				for zone := range rapid.IntRange(1, 3).Draw(t, "zones") {
					for n := range rapid.IntRange(0, 9).Draw(t, "entries") {
						live = append(live, testEntry(region, zone, n))
					}
				}
			}
			maxFanIn, errs := checkPlan(live)
			if maxFanIn > MaxFanIn || len(errs) > 0 {
				t.Fatalf("fan-in %d, wrong watchers: %v", maxFanIn, errs)
			}
		})
	})
	t.Run("7000 entries in 50 zones", func(t *testing.T) {
		var live []eelgrassbeam.Entry
		for i := range 7000 {
			live = append(live, testEntry(i%50%16, i%50, i))
		}
		maxFanIn, errs := checkPlan(live)
		is := is.New(t)
		is.True(maxFanIn <= MaxFanIn)
		is.Equal(len(errs), 0)
	})
}
