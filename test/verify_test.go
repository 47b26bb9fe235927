package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// maxFaultsShown bounds the faults that verify prints.
const maxFaultsShown = 20

// verify checks all recorded outcomes against what the backends ran and prints one line.
func verify(w *world, _ []string) (string, error) {
	runs, err := w.runs()
	if err != nil {
		return "", err
	}
	c := check{runs: runs, outcomes: make(map[outcome]int)}
	w.records.mu.Lock()
	defer w.records.mu.Unlock()
	for id, rec := range w.records.byID {
		c.one(id, rec)
	}
	if len(w.records.byID) == 0 {
		return "", errors.New("no request is recorded")
	}
	return c.line(len(w.records.byID)), c.err()
}

// runs returns how often each request id has run, from the backends' journals.
func (w *world) runs() (map[string]int, error) {
	runs := make(map[string]int)
	for name, n := range w.nodes {
		if n.role != roleBackend {
			continue
		}
		lines, err := readJournal(n.journal, runs)
		if err != nil {
			return nil, err
		}
		if n.killed {
			continue
		}
		if err := n.checkTotal(lines); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return runs, nil
}

// checkTotal compares the journal of a backend that still runs with its counts.
func (n *node) checkTotal(lines int) error {
	data, err := control(http.MethodGet, n.url("address")+"/standin/counts", nil)
	if err != nil {
		return err
	}
	var counts standin.BackendCounts
	if err := json.Unmarshal(data, &counts); err != nil {
		return err
	}
	if counts.Total < lines {
		return fmt.Errorf("counts %d runs, its journal %d", counts.Total, lines)
	}
	return nil
}

// readJournal adds the journal's ids to runs and returns the number of its lines.
func readJournal(name string, runs map[string]int) (int, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	lines := 0
	for line := range strings.Lines(string(data)) {
		id, _, _ := strings.Cut(line, "\t")
		runs[id]++
		lines++
	}
	return lines, nil
}

// check compares outcomes with runs.
type check struct {
	runs     map[string]int
	outcomes map[outcome]int
	doubled  int
	faults   []error
	more     int
}

func (c *check) fault(format string, args ...any) {
	if len(c.faults) >= maxFaultsShown {
		c.more++
		return
	}
	c.faults = append(c.faults, fmt.Errorf(format, args...))
}

// one checks one request.
func (c *check) one(id string, rec record) {
	c.outcomes[rec.outcome]++
	ran := c.runs[id]
	if rec.fault != "" {
		c.fault("%s: %s", id, rec.fault)
	}
	if ran > 1 && !rec.idempotent {
		c.doubled++
		c.fault("%s: not idempotent and ran %d times", id, ran)
	}
	if ran > 0 && (rec.outcome == outcomeNotRun || rec.outcome == outcomeUnsent) {
		c.fault("%s: %s but ran %d times", id, rec.outcome, ran)
	}
	if ran == 0 && rec.outcome == outcomeAnswered && rec.status == http.StatusOK {
		c.fault("%s: answered but never ran", id)
	}
}

func (c *check) line(total int) string {
	return fmt.Sprintf("verify requests=%d answered=%d not_run=%d unknown=%d lost=%d unsent=%d doubled=%d faults=%d\n",
		total, c.outcomes[outcomeAnswered], c.outcomes[outcomeNotRun], c.outcomes[outcomeUnknown],
		c.outcomes[outcomeLost], c.outcomes[outcomeUnsent], c.doubled, len(c.faults)+c.more)
}

func (c *check) err() error {
	if c.more > 0 {
		return fmt.Errorf("%w\nand %d more", errors.Join(c.faults...), c.more)
	}
	return errors.Join(c.faults...)
}
