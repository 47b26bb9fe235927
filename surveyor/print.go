package surveyor

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// print writes one row a size, then the slope of each measure over the number of entries.
func (s *Surveyor) print(rows []Row) error {
	var text strings.Builder
	text.WriteString("entries\tplatform calls/s\twatches\tcontrol B/s\tplatform B/s\tcore %\tresident MB\theap MB\tin force median\tworst\t\n")
	for _, r := range rows {
		fmt.Fprintf(&text, "%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%s\t%s\t\n", r.Entries, r.PlatformCalls, r.Watches,
			r.ControlBytes, r.PlatformBytes, 100*r.CPU, r.Resident/1e6, r.Heap/1e6,
			r.InForceMedian.Round(time.Millisecond/10), r.InForceWorst.Round(time.Millisecond/10))
	}
	table := tabwriter.NewWriter(s.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return s.printSlopes(rows)
}

func (s *Surveyor) printSlopes(rows []Row) error {
	for _, measure := range []struct {
		name string
		of   func(Row) float64
	}{
		{"platform calls/s, all entries", func(r Row) float64 { return r.PlatformCalls }},
		{"control B/s an entry", func(r Row) float64 { return r.ControlBytes }},
		{"platform B/s an entry", func(r Row) float64 { return r.PlatformBytes }},
		{"core % an entry", func(r Row) float64 { return 100 * r.CPU }},
		{"resident MB an entry", func(r Row) float64 { return r.Resident / 1e6 }},
	} {
		base, slope := slopeOf(rows, measure.of)
		if _, err := fmt.Fprintf(s.config.Output, "%s: %.3f + %.5f for each entry\n", measure.name, base, slope); err != nil {
			return err
		}
	}
	return nil
}

// slopeOf fits a line to the measure over the number of entries.
func slopeOf(rows []Row, of func(Row) float64) (base, slope float64) {
	x, y := make([]float64, len(rows)), make([]float64, len(rows))
	for i, r := range rows {
		x[i], y[i] = float64(r.Entries), of(r)
	}
	return stat.LinearRegression(x, y, nil, false)
}
