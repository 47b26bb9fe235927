package surveyor

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const sampleWorkers = 16

// sample holds the sums of all entries' metrics and the platform's call counts at one time.
type sample struct {
	at            time.Time
	calls         int
	watches       int
	controlBytes  float64
	platformBytes float64
	cpuSeconds    float64
	resident      float64
	heap          float64
}

// sample reads the platform's call counts and scrapes the metrics of all entries, up to sampleWorkers at a time.
func (f *fleet) sample(ctx context.Context) (sample, error) {
	counts := f.platform.Counts()
	total := sample{at: f.config.Clock.Now(), calls: counts.Total, watches: counts.Waiting}
	metrics := make([]map[string]float64, len(f.entries))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sampleWorkers)
	for i, p := range f.entries {
		group.Go(func() error {
			var err error
			metrics[i], err = scrape(ctx, p.operatorAddress)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return total, err
	}
	for _, m := range metrics {
		total.controlBytes += m[`eelgrassbeam_meter_control_bytes_total{peer="entry"}`]
		total.platformBytes += m[`eelgrassbeam_meter_control_bytes_total{peer="platform"}`]
		total.cpuSeconds += m["process_cpu_seconds_total"]
		total.resident += m["process_resident_memory_bytes"]
		total.heap += m["go_memstats_heap_inuse_bytes"]
	}
	return total, nil
}

// scrape returns the values of one entry's metrics, keyed by name and labels as in the text format.
func scrape(ctx context.Context, address string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("scrape %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = value
		}
	}
	return values, lines.Err()
}
