package loadgenerator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const (
	maxLatency         = 10 * time.Minute
	significantFigures = 3
)

// Group identifies the requests of one service and rank in a report.
type Group struct {
	Service eelgrassbeam.ServiceName
	Rank    eelgrassbeam.Rank
}

// Tally counts one group's outcomes.
type Tally struct {
	Sent     int
	Outcomes map[Outcome]int
	// Duplicated is the number of requests with a method other than GET that were executed more than once. Check sets
	// it.
	Duplicated int
	// Latency holds the latencies of answered requests in microseconds.
	Latency *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	Groups  map[Group]*Tally
	Results map[eelgrassbeam.RequestID]Result
}

func newReport() *Report {
	return &Report{Groups: make(map[Group]*Tally), Results: make(map[eelgrassbeam.RequestID]Result)}
}

func (r *Report) add(result Result) {
	r.Results[result.ID] = result
	tally := r.tally(Group{Service: result.Kind.Service, Rank: result.Kind.Rank})
	tally.Sent++
	tally.Outcomes[result.Outcome]++
	if result.Outcome == Answered {
		_ = tally.Latency.RecordValue(result.Latency.Microseconds())
	}
}

func (r *Report) tally(group Group) *Tally {
	tally, ok := r.Groups[group]
	if !ok {
		tally = &Tally{
			Outcomes: make(map[Outcome]int),
			Latency:  hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		}
		r.Groups[group] = tally
	}
	return tally
}

// Violation is a request that was not handled as the system guarantees.
type Violation struct {
	ID          eelgrassbeam.RequestID
	Description string
}

// Check compares the results with the number of executions of each request at the backend servers, and returns the
// violations sorted by request id. Requests that were lost or whose outcome is unknown may have been executed, and GET
// requests may have been executed more than once.
func (r *Report) Check(executions map[string]int) []Violation {
	var violations []Violation
	for id, result := range r.Results {
		n := executions[string(id)]
		switch {
		case result.Outcome == Crossed:
			violations = append(violations, Violation{id, "received the response to another request"})
		case result.Outcome == NotRun && n > 0:
			violations = append(violations, Violation{id, fmt.Sprintf("reported as not run, but executed %d times", n)})
		case result.Outcome == Answered && result.Status == 200 && n == 0:
			violations = append(violations, Violation{id, "answered, but never executed"})
		}
		if n > 1 && result.Kind.Method != "GET" {
			r.tally(Group{Service: result.Kind.Service, Rank: result.Kind.Rank}).Duplicated++
			violations = append(violations, Violation{id, fmt.Sprintf("executed %d times", n)})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.ID, b.ID) })
	return violations
}

// Count returns the number of requests with the outcome.
func (r *Report) Count(outcome Outcome) int {
	n := 0
	for _, tally := range r.Groups {
		n += tally.Outcomes[outcome]
	}
	return n
}

// Print writes the report as a table with one row for each service and rank, sorted by service and rank.
func (r *Report) Print(w io.Writer) error {
	groups := make([]Group, 0, len(r.Groups))
	for group := range r.Groups {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank.Index(), b.Rank.Index()))
	})
	var rows strings.Builder
	rows.WriteString("service\trank\tsent\tanswered\tnot run\tunknown\tlost\tcrossed\tdoubled\tp50\tp99\t\n")
	for _, group := range groups {
		t := r.Groups[group]
		fmt.Fprintf(&rows, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", group.Service, group.Rank, t.Sent,
			t.Outcomes[Answered], t.Outcomes[NotRun], t.Outcomes[Unknown], t.Outcomes[Lost], t.Outcomes[Crossed], t.Duplicated,
			t.Quantile(50), t.Quantile(99))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

// Quantile returns the given percentile, from 0 to 100, of the latency of answered requests, rounded to 10 µs.
func (t *Tally) Quantile(percent float64) time.Duration {
	return (time.Duration(t.Latency.ValueAtQuantile(percent)) * time.Microsecond).Round(10 * time.Microsecond)
}
