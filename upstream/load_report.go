package upstream

import (
	"strconv"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	// loadFigures is the number of figures that a load report has at least: requests in progress, waiting requests and slots.
	loadFigures = 3
	// maxLoadFigure bounds each of them, so that a wrong one can't draw or repel all requests for long.
	maxLoadFigure = 1_000_000
	// usualPace is the figure for a machine on which work takes as long as usual, and maxPace the largest that counts.
	usualPace = 100.0
	maxPace   = 20.0
)

// decodeLoad decodes a load report: numbers separated by commas. With fewer than three figures, or with one of the first three
// invalid, there is no report. An invalid fourth one, the pace, counts as not reported; further ones are ignored.
func decodeLoad(text string) eelgrassbeam.SiteLoad {
	figures := strings.Split(text, ",")
	if len(figures) < loadFigures {
		return eelgrassbeam.SiteLoad{}
	}
	var counts [loadFigures]int
	for i := range counts {
		count, err := strconv.Atoi(strings.TrimSpace(figures[i]))
		if err != nil || count < 0 || count > maxLoadFigure {
			return eelgrassbeam.SiteLoad{}
		}
		counts[i] = count
	}
	load := eelgrassbeam.SiteLoad{InProgress: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(figures) > loadFigures {
		load.Pace = decodePace(figures[loadFigures])
	}
	return load
}

// decodePace returns the pace as a multiple of the usual one, zero if it is invalid.
func decodePace(text string) float64 {
	pace, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(pace > 0) {
		return 0
	}
	return min(pace/usualPace, maxPace)
}
