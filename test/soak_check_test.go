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

// soakRun is one line of a backend's journal.
type soakRun struct {
	id, backend string
	// leaving is how long the store had known that the backend leaves, zero for not at all.
	leaving time.Duration
}

// readSoakJournal reads a journal; a line that a killed backend has not finished is not there.
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

// soakCheck compares what callers saw with what backends ran.
type soakCheck struct {
	records []soakRecord
	runs    []soakRun
	// touched tells whether the entry or backend was disturbed in the time or shortly before, by planned work only if it is asked for.
	touched func(name string, from, to time.Time, planned bool) bool
}

func (c *soakCheck) ranBy() map[string][]soakRun {
	ran := make(map[string][]soakRun)
	for _, run := range c.runs {
		ran[run.id] = append(ran[run.id], run)
	}
	return ran
}

// faults returns each broken promise.
func (c *soakCheck) faults() []error {
	var faults []error
	ran, repeats, known := c.ranBy(), 0, make(map[string]bool)
	for _, record := range c.records {
		known[record.id] = true
		repeats += max(len(ran[record.id])-1, 0)
		if broken := c.brokenBy(record, ran[record.id]); broken != "" {
			faults = append(faults, fmt.Errorf("%s by %s from %s to %s, status %d, error %w, %d runs: %s", record.id, record.entry,
				record.began.Format(time.StampMilli), record.ended.Format(time.StampMilli), record.status, errorOf(record), len(ran[record.id]), broken))
		}
	}
	for id := range ran {
		if !known[id] {
			faults = append(faults, fmt.Errorf("%s ran and no caller sent it", id))
		}
	}
	if limit := soakBudgetShare*float64(len(c.records)) + soakBudgetSlack; float64(repeats) > limit {
		faults = append(faults, fmt.Errorf("%d runs beyond the first of %d requests: want at most %g", repeats, len(c.records), limit))
	}
	return faults
}

var errNone = errors.New("none")

func errorOf(record soakRecord) error {
	if record.err == nil {
		return errNone
	}
	return record.err
}

// brokenBy tells which promise the request breaks, if any.
func (c *soakCheck) brokenBy(record soakRecord, runs []soakRun) string {
	took := record.ended.Sub(record.began)
	switch {
	case record.fault != "":
		return record.fault
	case !record.isIdempotent && len(runs) > 1:
		return "not idempotent and ran more than once"
	case len(runs) > soakAttempts:
		return "ran on more upstreams than the route allows"
	case record.err == nil && isPromised(record.status) && !record.isIdempotent && len(runs) > 0:
		return "refused as not run and ran"
	case record.err == nil && record.isBackends && record.status == http.StatusOK && len(runs) == 0:
		return "answered and never ran"
	case record.err != nil && (len(runs) > 0 || took > soakRead) && !c.touched(record.entry, record.began, record.ended, false):
		return "read and cut without an answer"
	case record.err == nil && took > soakTimeout+soakLate && !c.touched(record.entry, record.began, record.ended, true):
		return "answered later than the route's timeout"
	}
	for _, run := range runs {
		if run.leaving > soakDrain && !c.touched(record.entry, record.began, record.ended, true) &&
			!c.touched(run.backend, record.began, record.ended, true) {
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
		case record.isBackends:
			answered++
		case isPromised(record.status):
			refused++
		default:
			failed++
		}
	}
	return fmt.Sprintf("soak requests=%d answered=%d refused=%d failed=%d lost=%d runs=%d at_leaving=%d",
		len(c.records), answered, refused, failed, lost, len(c.runs), leaving)
}

// TestSoakChecks shows that each check fails for what it is for.
func TestSoakChecks(t *testing.T) {
	began := time.Now()
	answered := soakRecord{id: "r", entry: "e0", isIdempotent: true, began: began, ended: began.Add(time.Second), status: http.StatusOK, isBackends: true}
	with := func(change func(*soakRecord)) soakRecord {
		record := answered
		change(&record)
		return record
	}
	for _, test := range []struct {
		name           string
		record         soakRecord
		runs           []soakRun
		wrong          string
		whileDisturbed bool
	}{
		{name: "answered once", record: answered, runs: []soakRun{{id: "r"}}},
		{name: "idempotent, repeated", record: answered, runs: []soakRun{{id: "r"}, {id: "r"}}},
		{name: "too many attempts", record: answered, runs: []soakRun{{id: "r"}, {id: "r"}, {id: "r"}}, wrong: "more upstreams"},
		{name: "doubled", record: with(func(r *soakRecord) { r.isIdempotent = false }), runs: []soakRun{{id: "r"}, {id: "r"}}, wrong: "more than once"},
		{name: "made up", record: answered, wrong: "never ran"},
		{name: "another's answer", record: with(func(r *soakRecord) { r.fault = "answer carries id" }), runs: []soakRun{{id: "r"}}, wrong: "carries id"},
		{
			name: "false refusal", runs: []soakRun{{id: "r"}}, wrong: "refused",
			record: with(func(r *soakRecord) {
				r.status, r.isBackends, r.isIdempotent = http.StatusServiceUnavailable, false, false
			}),
		},
		{name: "cut", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), runs: []soakRun{{id: "r"}}, wrong: "cut"},
		{name: "cut while disturbed", record: with(func(r *soakRecord) { r.err = errors.New("EOF") }), runs: []soakRun{{id: "r"}}, whileDisturbed: true},
		{name: "crossed the close", record: with(func(r *soakRecord) { r.err, r.ended = errors.New("EOF"), r.began.Add(time.Millisecond) })},
		{name: "late", record: with(func(r *soakRecord) { r.ended = r.began.Add(soakTimeout + soakLate + 1) }), runs: []soakRun{{id: "r"}}, wrong: "later than"},
		{name: "leaving upstream", record: answered, runs: []soakRun{{id: "r", leaving: soakDrain + 1}}, wrong: "leaving"},
		{name: "run that nobody sent", record: answered, runs: []soakRun{{id: "r"}, {id: "x"}}, wrong: "no caller"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := soakCheck{records: []soakRecord{test.record}, runs: test.runs, touched: func(string, time.Time, time.Time, bool) bool { return test.whileDisturbed }}
			found := errors.Join(c.faults()...)
			if test.wrong == "" {
				is.NoErr(found)
				return
			}
			is.True(found != nil && strings.Contains(found.Error(), test.wrong))
		})
	}
	t.Run("too many repeats", func(t *testing.T) {
		var c soakCheck
		c.touched = func(string, time.Time, time.Time, bool) bool { return false }
		for i := range 100 {
			record := answered
			record.id = strconv.Itoa(i)
			c.records = append(c.records, record)
			c.runs = append(c.runs, soakRun{id: record.id}, soakRun{id: record.id})
		}
		is.New(t).Equal(len(c.faults()), 1)
	})
}
