package test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakExecution is one line of a backend's journal: one execution of a request.
type soakExecution struct {
	id, backend, zone string
	// leaving is how long the store had listed the backend as leaving; zero if it had not.
	leaving time.Duration
}

// readSoakJournal returns the executions in a journal, and none if the file does not exist. A killed backend leaves no
// partial line, because it writes each line at once.
func readSoakJournal(name string) ([]soakExecution, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var executions []soakExecution
	backend, _, _ := strings.Cut(filepath.Base(name), "-")
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		execution := soakExecution{id: fields[0], backend: backend}
		if len(fields) > 2 {
			milliseconds, err := strconv.Atoi(fields[2])
			if err != nil {
				return nil, fmt.Errorf("%s: %q: %w", name, line, err)
			}
			execution.leaving = time.Duration(milliseconds) * time.Millisecond
		}
		executions = append(executions, execution)
	}
	return executions, nil
}

// soakCheck compares the callers' records with the requests that backends executed.
type soakCheck struct {
	records     []soakRecord
	floods      []soakRecord
	executions  []soakExecution
	evacuations []soakEvacuation
	// disrupted reports whether the entry or backend was disrupted between from and to or shortly before. Planned
	// disruptions count only if includePlanned is set.
	disrupted func(name string, from, to time.Time, includePlanned bool) bool
	// closed reports whether the soak closed connections of the backend between from and to.
	closed func(backend string, from, to time.Time) bool
}

func (c *soakCheck) executionsByID() map[string][]soakExecution {
	ran := make(map[string][]soakExecution)
	for _, execution := range c.executions {
		ran[execution.id] = append(ran[execution.id], execution)
	}
	return ran
}

// violations returns an error for each broken guarantee.
func (c *soakCheck) violations() []error {
	var violations []error
	ran, repeats, sentIDs := c.executionsByID(), 0, make(map[string]bool)
	for _, record := range c.records {
		sentIDs[record.id] = true
		repeats += max(len(ran[record.id])-1, 0)
		if violation := c.violationOf(record, ran[record.id]); violation != "" {
			violations = append(violations, fmt.Errorf("%s via %s from %s to %s, status %d, error %w, %d executions: %s", record.id, record.entry,
				record.began.Format(time.StampMilli), record.ended.Format(time.StampMilli), record.status, errorOf(record), len(ran[record.id]), violation))
		}
	}
	for _, flood := range c.floods {
		sentIDs[flood.id] = true
		if violation := c.responseViolation(flood); violation != "" {
			violations = append(violations, fmt.Errorf("%s of team %s via %s: %s", flood.id, floodTeam, flood.entry, violation))
		}
	}
	if err := checkFlood(c.floods, ran); err != nil {
		violations = append(violations, err)
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
func (c *soakCheck) violationOf(record soakRecord, executions []soakExecution) string {
	latency := record.ended.Sub(record.began)
	switch {
	case c.responseViolation(record) != "":
		return c.responseViolation(record)
	case record.isDenied():
		return fmt.Sprintf("proper request rejected with status %d", record.status)
	case !record.isIdempotent && len(executions) > 1:
		return "non-idempotent request executed more than once"
	case len(executions) > soakAttempts:
		return "executed on more upstreams than the route allows"
	case record.err == nil && isNotRunStatus(record.status) && !record.isIdempotent && len(executions) > 0:
		return "refused as not executed, but executed"
	case record.err == nil && record.fromBackend && record.status == http.StatusOK && len(executions) == 0:
		return "answered but never executed"
	case record.err != nil && (len(executions) > 0 || latency > soakCloseRace) && !c.disrupted(record.entry, record.began, record.ended, false):
		return "connection cut without a response after the request was read"
	case record.err == nil && latency > soakTimeout+soakTimeoutSlack && !c.disrupted(record.entry, record.began, record.ended, true):
		return "answered later than the route's timeout allows"
	}
	for _, execution := range executions {
		if execution.leaving > soakDrain && !c.disrupted(record.entry, record.began, record.ended, true) &&
			!c.disrupted(execution.backend, record.began, record.ended, true) {
			return fmt.Sprintf("sent to an upstream that had been leaving for %s", execution.leaving)
		}
		if c.isEvacuated(execution.zone, record) && !c.disrupted(record.entry, record.began, record.ended, true) {
			return fmt.Sprintf("sent to %s in the evacuated zone %s", execution.backend, execution.zone)
		}
	}
	return ""
}

// responseViolation describes what is wrong with the response itself, or returns an empty string. An endless response may count
// as complete only if its backend's connections were closed.
func (c *soakCheck) responseViolation(record soakRecord) string {
	if record.endlessFrom != "" && !c.closed(record.endlessFrom, record.ended.Add(-soakCloseDelay), record.ended.Add(soakCloseRace)) {
		return "endless response of " + record.endlessFrom + " taken for a complete one"
	}
	return record.violation
}

// isEvacuated reports whether an evacuation of the zone was stored more than soakEvacuationDelay before the request and
// not taken back before its end.
func (c *soakCheck) isEvacuated(zone string, record soakRecord) bool {
	return slices.ContainsFunc(c.evacuations, func(e soakEvacuation) bool {
		return e.zone == zone && record.began.Sub(e.at) > soakEvacuationDelay && (e.end.IsZero() || record.ended.Before(e.end))
	})
}

func (c *soakCheck) summary() string {
	answered, refused, failed, lost, leaving := 0, 0, 0, 0, 0
	for _, execution := range c.executions {
		if execution.leaving > 0 {
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
		len(c.records), answered, refused, failed, lost, len(c.executions), leaving)
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
	endless := with(func(r *soakRecord) { r.fromBackend, r.endlessFrom = false, "t1" })
	for _, test := range []struct {
		name           string
		record         soakRecord
		executions     []soakExecution
		wantViolation  string
		whileDisrupted bool
		whileClosed    bool
	}{
		{name: "answered once", record: answered, executions: []soakExecution{{id: "r"}}},
		{name: "idempotent request executed twice", record: answered, executions: []soakExecution{{id: "r"}, {id: "r"}}},
		{name: "too many attempts", record: answered, executions: []soakExecution{{id: "r"}, {id: "r"}, {id: "r"}}, wantViolation: "more upstreams"},
		{name: "doubled", record: with(func(r *soakRecord) { r.isIdempotent = false }), executions: []soakExecution{{id: "r"}, {id: "r"}}, wantViolation: "more than once"},
		{name: "answered without an execution", record: answered, wantViolation: "never executed"},
		{name: "response to another request", record: with(func(r *soakRecord) { r.violation = "answer carries id" }), executions: []soakExecution{{id: "r"}}, wantViolation: "carries id"},
		{
			name: "refused but executed", executions: []soakExecution{{id: "r"}}, wantViolation: "refused",
			record: with(func(r *soakRecord) {
				r.status, r.fromBackend, r.isIdempotent = http.StatusServiceUnavailable, false, false
			}),
		},
		{name: "denied", record: with(func(r *soakRecord) { r.status, r.fromBackend = http.StatusNotFound, false }), wantViolation: "rejected with status 404"},
		{name: "denied during a disruption", record: with(func(r *soakRecord) { r.status, r.fromBackend = http.StatusBadRequest, false }), whileDisrupted: true, wantViolation: "rejected with status 400"},
		{name: "slow header", record: with(func(r *soakRecord) { r.status, r.fromBackend = http.StatusRequestTimeout, false })},
		{name: "backend's own rejection", record: with(func(r *soakRecord) { r.status = http.StatusNotFound }), executions: []soakExecution{{id: "r"}}},
		{name: "route of a version that isn't in force", record: with(func(r *soakRecord) { r.status, r.fromBackend, r.path = http.StatusNotFound, false, versionPath(3) })},
		{name: "cut", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), executions: []soakExecution{{id: "r"}}, wantViolation: "cut"},
		{name: "cut during a disruption", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), executions: []soakExecution{{id: "r"}}, whileDisrupted: true},
		{name: "idle close as the request is sent", record: with(func(r *soakRecord) { r.err, r.ended = errors.New("EOF"), r.began.Add(time.Millisecond) })},
		{name: "late", record: with(func(r *soakRecord) { r.ended = r.began.Add(soakTimeout + soakTimeoutSlack + 1) }), executions: []soakExecution{{id: "r"}}, wantViolation: "later than"},
		{name: "leaving upstream", record: answered, executions: []soakExecution{{id: "r", leaving: soakDrain + 1}}, wantViolation: "leaving"},
		{name: "evacuated zone", record: with(func(r *soakRecord) { r.began = r.ended.Add(-1) }), executions: []soakExecution{{id: "r", zone: "z0"}}, wantViolation: "evacuated"},
		{name: "evacuated zone during a disruption", record: with(func(r *soakRecord) { r.began = r.ended.Add(-1) }), executions: []soakExecution{{id: "r", zone: "z0"}}, whileDisrupted: true},
		{name: "zone evacuated a moment ago", record: answered, executions: []soakExecution{{id: "r", zone: "z0"}}},
		{name: "zone taken back", record: with(func(r *soakRecord) { r.began, r.ended = r.ended.Add(-1), r.ended.Add(1) }), executions: []soakExecution{{id: "r", zone: "z0"}}},
		{name: "endless response", record: endless, executions: []soakExecution{{id: "r"}}, wantViolation: "endless response of t1"},
		{name: "endless response of a backend whose connections were closed", record: endless, executions: []soakExecution{{id: "r"}}, whileClosed: true},
		{name: "execution without a caller", record: answered, executions: []soakExecution{{id: "r"}, {id: "x"}}, wantViolation: "no caller"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := soakCheck{
				records: []soakRecord{test.record}, executions: test.executions,
				evacuations: []soakEvacuation{{zone: "z0", at: began.Add(-soakEvacuationDelay), end: answered.ended.Add(1)}},
				disrupted:   func(string, time.Time, time.Time, bool) bool { return test.whileDisrupted },
				closed:      func(string, time.Time, time.Time) bool { return test.whileClosed },
			}
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
			c.executions = append(c.executions, soakExecution{id: record.id}, soakExecution{id: record.id})
		}
		is.New(t).Equal(len(c.violations()), 1)
	})
}
