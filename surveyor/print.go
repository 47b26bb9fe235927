package surveyor

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// print writes a table with one row for each size, then a linear fit of each measure over the number of entries.
func (s *Surveyor) print(measurements []Measurement) error {
	var text strings.Builder
	text.WriteString("entries\tplatform calls/s\twatches\tcontrol B/s\tplatform B/s\tcore %\tresident MB\theap MB\tin force median\tworst\t\n")
	for _, r := range measurements {
		fmt.Fprintf(&text, "%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%s\t%s\t\n", r.Entries, r.PlatformCalls, r.Watches,
			r.ControlBytes, r.PlatformBytes, 100*r.CPU, r.Resident/1e6, r.Heap/1e6,
			r.PropagationMedian.Round(time.Millisecond/10), r.PropagationMax.Round(time.Millisecond/10))
	}
	table := tabwriter.NewWriter(s.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return s.printSlopes(measurements)
}

func (s *Surveyor) printSlopes(measurements []Measurement) error {
	for _, measure := range []struct {
		name  string
		value func(Measurement) float64
	}{
		{"platform calls/s, all entries", func(r Measurement) float64 { return r.PlatformCalls }},
		{"control B/s an entry", func(r Measurement) float64 { return r.ControlBytes }},
		{"platform B/s an entry", func(r Measurement) float64 { return r.PlatformBytes }},
		{"core % an entry", func(r Measurement) float64 { return 100 * r.CPU }},
		{"resident MB an entry", func(r Measurement) float64 { return r.Resident / 1e6 }},
	} {
		base, slope := fitLine(measurements, measure.value)
		if _, err := fmt.Fprintf(s.config.Output, "%s: %.3f + %.5f for each entry\n", measure.name, base, slope); err != nil {
			return err
		}
	}
	return nil
}

// fitLine returns the linear regression of the value over the number of entries: the value at zero and the slope.
func fitLine(measurements []Measurement, value func(Measurement) float64) (base, slope float64) {
	x, y := make([]float64, len(measurements)), make([]float64, len(measurements))
	for i, r := range measurements {
		x[i], y[i] = float64(r.Entries), value(r)
	}
	return stat.LinearRegression(x, y, nil, false)
}
