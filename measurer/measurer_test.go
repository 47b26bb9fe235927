package measurer

import (
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	runLength = 20 * time.Second
	seed      = 1
	// floodLoad is the offered work of a flooding rank as a multiple of the capacity.
	floodLoad = 5

	// maxUrgentSlowdown bounds the urgent rank's p99 under a background flood, relative to that under normal load.
	// minFloorRatio and minFairness bound FloorRatio of each rank and Fairness of the flooding rank.
	maxUrgentSlowdown = 1.2
	minFloorRatio     = 0.95
	minFairness       = 0.98
)

func TestSiteUnderFlood(t *testing.T) {
	for _, site := range Sites() {
		t.Run(site.Name, func(t *testing.T) {
			is, table := is.New(t), newTable(t)
			site = site.WithLength(runLength, seed)
			normal := site.WithDemand(0.3, 0.2, 0.2)
			background := site.WithDemand(0.3, 0.2, floodLoad)
			urgent := site.WithDemand(floodLoad, 0.3, 0.2)
			for _, system := range Systems() {
				normalReport, backgroundReport, urgentReport := MeasureSite(normal, system), MeasureSite(background, system), MeasureSite(urgent, system)
				table.add("calm", normalReport)
				table.add("background flood", backgroundReport)
				table.add("urgent flood", urgentReport)
				if system == SystemAdmitter {
					checkUrgentLatency(is, normalReport, backgroundReport)
					checkFloorsAndFairness(is, backgroundReport, eelgrassbeam.RankBackground)
					checkFloorsAndFairness(is, urgentReport, eelgrassbeam.RankUrgent)
				}
			}
			table.print()
		})
	}
}

func TestSiteUnderHeavyBackground(t *testing.T) {
	for _, site := range Sites() {
		t.Run(site.Name, func(t *testing.T) {
			is, table := is.New(t), newTable(t)
			site = site.WithLength(runLength, seed).WithBackgroundFactor(5)
			normal := MeasureSite(site.WithDemand(0.3, 0.2, 0.2), SystemAdmitter)
			flooded := MeasureSite(site.WithDemand(0.3, 0.2, floodLoad), SystemAdmitter)
			urgent := MeasureSite(site.WithDemand(floodLoad, 0.3, 0.2), SystemAdmitter)
			table.add("calm", normal)
			table.add("background flood", flooded)
			table.add("urgent flood", urgent)
			table.print()
			checkUrgentLatency(is, normal, flooded)
			checkFloorsAndFairness(is, flooded, eelgrassbeam.RankBackground)
			checkFloorsAndFairness(is, urgent, eelgrassbeam.RankUrgent)
		})
	}
}

func checkUrgentLatency(is *is.I, normal, flooded Report) {
	is.Helper()
	before, after := normal.Rank(eelgrassbeam.RankUrgent).P99, flooded.Rank(eelgrassbeam.RankUrgent).P99
	is.True(float64(after) <= maxUrgentSlowdown*float64(before))
}

// checkFloorsAndFairness checks that each rank gets its floor, that the teams of the flooding rank get equal shares,
// and that no upstream has more requests in progress than slots.
func checkFloorsAndFairness(is *is.I, report Report, flooding eelgrassbeam.Rank) {
	is.Helper()
	for _, rank := range report.Ranks {
		is.True(rank.FloorRatio >= minFloorRatio)
	}
	is.True(report.Rank(flooding).Fairness >= minFairness)
	is.True(report.MaxInProgress <= 1)
}

type table struct {
	t    *testing.T
	text strings.Builder
	w    *tabwriter.Writer
	// latencyOnly omits the columns that apply to a single site only.
	latencyOnly bool
}

func newTable(t *testing.T) *table {
	table := newEmptyTable(t)
	_, _ = fmt.Fprintln(table.w, "| load\t system\t rank\t in time\t p50\t p99\t slots\t kept\t fairness\t most |")
	return table
}

func newLatencyTable(t *testing.T) *table {
	table := newEmptyTable(t)
	table.latencyOnly = true
	_, _ = fmt.Fprintln(table.w, "| load\t system\t rank\t in time\t p50\t p99 |")
	return table
}

func newEmptyTable(t *testing.T) *table {
	table := &table{t: t}
	table.w = tabwriter.NewWriter(&table.text, 0, 0, 1, ' ', tabwriter.Debug)
	return table
}

func (t *table) add(load string, report Report) {
	for _, r := range report.Ranks {
		_, _ = fmt.Fprintf(t.w, "| %s\t %s\t %s\t %.1f%%\t %s\t %s", load, report.System, r.Rank,
			100*r.InTime, r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond))
		if !t.latencyOnly {
			_, _ = fmt.Fprintf(t.w, "\t %.3f\t %.2f\t %.3f\t %.2f", r.SlotShare, r.FloorRatio, r.Fairness, report.MaxInProgress)
		}
		_, _ = fmt.Fprintln(t.w, " |")
	}
}

func (t *table) print() {
	_ = t.w.Flush()
	t.t.Log("\n" + t.text.String())
}
