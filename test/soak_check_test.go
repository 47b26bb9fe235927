package test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakRun is one line of a backend's journal: one execution of a request.
type soakRun struct {
	id, backend string
	// leaving is how long the store had listed the backend as leaving; zero if it had not.
	leaving time.Duration
}

// readSoakJournal returns the executions in a journal, and none if the file does not exist. A killed backend leaves no
// partial line, because it writes each line at once.
func readSoakJournal(name string) ([]soakRun, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var runs []soakRun
	backend, _, _ := strings.Cut(filepath.Base(name), "-")
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		run := soakRun{id: fields[0], backend: backend}
		if len(fields) > 2 {
			milliseconds, err := strconv.Atoi(fields[2])
			if err != nil {
				return nil, fmt.Errorf("%s: %q: %w", name, line, err)
			}
			run.leaving = time.Duration(milliseconds) * time.Millisecond
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// soakCheck compares the callers' records with the requests that backends executed.
type soakCheck struct {
	records []soakRecord
	runs    []soakRun
	// disrupted reports whether the entry or backend was disrupted between the times or shortly before. Planned work
	// counts only if planned is set.
	disrupted func(name string, from, to time.Time, planned bool) bool
}

func (c *soakCheck) runsByID() map[string][]soakRun {
	ran := make(map[string][]soakRun)
	for _, run := range c.runs {
		ran[run.id] = append(ran[run.id], run)
	}
	return ran
}

// violations returns an error for each broken guarantee.
func (c *soakCheck) violations() []error {
	var violations []error
	ran, repeats, sentIDs := c.runsByID(), 0, make(map[string]bool)
	for _, record := range c.records {
		sentIDs[record.id] = true
		repeats += max(len(ran[record.id])-1, 0)
		if violation := c.violationOf(record, ran[record.id]); violation != "" {
			violations = append(violations, fmt.Errorf("%s via %s from %s to %s, status %d, error %w, %d executions: %s", record.id, record.entry,
				record.began.Format(time.StampMilli), record.ended.Format(time.StampMilli), record.status, errorOf(record), len(ran[record.id]), violation))
		}
	}
	for id := range ran {
		if !sentIDs[id] {
			violations = append(violations, fmt.Errorf("%s was executed, but no caller sent it", id))
		}
	}
	if limit := soakRetryRatio*float64(len(c.records)) + soakRetrySlack; float64(repeats) > limit {
		violations = append(violations, fmt.Errorf("%d repeated executions for %d requests: want at most %g", repeats, len(c.records), limit))
	}
	return violations
}

var errNone = errors.New("none")

func errorOf(record soakRecord) error {
	if record.err == nil {
		return errNone
	}
	return record.err
}

// violationOf describes the guarantee that is broken for the request, or returns an empty string.
func (c *soakCheck) violationOf(record soakRecord, runs []soakRun) string {
	latency := record.ended.Sub(record.began)
	switch {
	case record.violation != "":
		return record.violation
	case !record.isIdempotent && len(runs) > 1:
		return "non-idempotent request executed more than once"
	case len(runs) > soakAttempts:
		return "executed on more upstreams than the route allows"
	case record.err == nil && isNotRunStatus(record.status) && !record.isIdempotent && len(runs) > 0:
		return "refused as not executed, but executed"
	case record.err == nil && record.fromBackend && record.status == http.StatusOK && len(runs) == 0:
		return "answered but never executed"
	case record.err != nil && (len(runs) > 0 || latency > soakCloseRace) && !c.disrupted(record.entry, record.began, record.ended, false):
		return "connection cut without a response after the request was read"
	case record.err == nil && latency > soakTimeout+soakTimeoutSlack && !c.disrupted(record.entry, record.began, record.ended, true):
		return "answered later than the route's timeout allows"
	}
	for _, run := range runs {
		if run.leaving > soakDrain && !c.disrupted(record.entry, record.began, record.ended, true) &&
			!c.disrupted(run.backend, record.began, record.ended, true) {
			return fmt.Sprintf("sent to an upstream that had been leaving for %s", run.leaving)
		}
	}
	return ""
}

func (c *soakCheck) summary() string {
	answered, refused, failed, lost, leaving := 0, 0, 0, 0, 0
	for _, run := range c.runs {
		if run.leaving > 0 {
			leaving++
		}
	}
	for _, record := range c.records {
		switch {
		case record.err != nil:
			lost++
		case record.fromBackend:
			answered++
		case isNotRunStatus(record.status):
			refused++
		default:
			failed++
		}
	}
	return fmt.Sprintf("soak requests=%d answered=%d refused=%d failed=%d lost=%d runs=%d at_leaving=%d",
		len(c.records), answered, refused, failed, lost, len(c.runs), leaving)
}

// TestSoakChecks guards against checks that never fail: each must detect the violation that it is meant for and accept
// what is allowed.
func TestSoakChecks(t *testing.T) {
	began := time.Now()
	answered := soakRecord{id: "r", entry: "e0", isIdempotent: true, began: began, ended: began.Add(time.Second), status: http.StatusOK, fromBackend: true}
	with := func(change func(*soakRecord)) soakRecord {
		record := answered
		change(&record)
		return record
	}
	for _, test := range []struct {
		name           string
		record         soakRecord
		runs           []soakRun
		wantViolation  string
		whileDisrupted bool
	}{
		{name: "answered once", record: answered, runs: []soakRun{{id: "r"}}},
		{name: "idempotent request executed twice", record: answered, runs: []soakRun{{id: "r"}, {id: "r"}}},
		{name: "too many attempts", record: answered, runs: []soakRun{{id: "r"}, {id: "r"}, {id: "r"}}, wantViolation: "more upstreams"},
		{name: "doubled", record: with(func(r *soakRecord) { r.isIdempotent = false }), runs: []soakRun{{id: "r"}, {id: "r"}}, wantViolation: "more than once"},
		{name: "answered without an execution", record: answered, wantViolation: "never executed"},
		{name: "response to another request", record: with(func(r *soakRecord) { r.violation = "answer carries id" }), runs: []soakRun{{id: "r"}}, wantViolation: "carries id"},
		{
			name: "refused but executed", runs: []soakRun{{id: "r"}}, wantViolation: "refused",
			record: with(func(r *soakRecord) {
				r.status, r.fromBackend, r.isIdempotent = http.StatusServiceUnavailable, false, false
			}),
		},
		{name: "cut", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), runs: []soakRun{{id: "r"}}, wantViolation: "cut"},
		{name: "cut during a disruption", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), runs: []soakRun{{id: "r"}}, whileDisrupted: true},
		{name: "idle close as the request is sent", record: with(func(r *soakRecord) { r.err, r.ended = errors.New("EOF"), r.began.Add(time.Millisecond) })},
		{name: "late", record: with(func(r *soakRecord) { r.ended = r.began.Add(soakTimeout + soakTimeoutSlack + 1) }), runs: []soakRun{{id: "r"}}, wantViolation: "later than"},
		{name: "leaving upstream", record: answered, runs: []soakRun{{id: "r", leaving: soakDrain + 1}}, wantViolation: "leaving"},
		{name: "execution without a caller", record: answered, runs: []soakRun{{id: "r"}, {id: "x"}}, wantViolation: "no caller"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := soakCheck{records: []soakRecord{test.record}, runs: test.runs, disrupted: func(string, time.Time, time.Time, bool) bool { return test.whileDisrupted }}
			found := errors.Join(c.violations()...)
			if test.wantViolation == "" {
				is.NoErr(found)
				return
			}
			is.True(found != nil && strings.Contains(found.Error(), test.wantViolation))
		})
	}
	t.Run("retry budget exceeded", func(t *testing.T) {
		var c soakCheck
		c.disrupted = func(string, time.Time, time.Time, bool) bool { return false }
		for i := range 100 {
			record := answered
			record.id = strconv.Itoa(i)
			c.records = append(c.records, record)
			c.runs = append(c.runs, soakRun{id: record.id}, soakRun{id: record.id})
		}
		is.New(t).Equal(len(c.violations()), 1)
	})
}
