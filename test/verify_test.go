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

// maxViolationsShown is the maximum number of violations that verify prints.
const maxViolationsShown = 20

// verify checks all recorded outcomes against the requests that the backends executed, and prints a summary line.
func verify(sc *scenario, _ []string) (string, error) {
	executions, err := sc.executions()
	if err != nil {
		return "", err
	}
	c := scenarioCheck{executions: executions, outcomes: make(map[outcome]int)}
	sc.records.mu.Lock()
	defer sc.records.mu.Unlock()
	for id, rec := range sc.records.byID {
		c.checkRequest(id, rec)
	}
	if len(sc.records.byID) == 0 {
		return "", errors.New("no requests are recorded")
	}
	return c.summary(len(sc.records.byID)), c.err()
}

// executions returns the number of executions of each request ID, as read from the backends' journals.
func (sc *scenario) executions() (map[string]int, error) {
	executions := make(map[string]int)
	for name, n := range sc.nodes {
		if n.role != roleBackend {
			continue
		}
		lines, err := readJournal(n.journal, executions)
		if err != nil {
			return nil, err
		}
		if n.terminated {
			continue
		}
		if err := n.checkTotal(lines); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return executions, nil
}

// checkTotal returns an error if the journal of a running backend holds more executions than the backend reports.
func (n *node) checkTotal(lines int) error {
	data, err := doHTTP(http.MethodGet, n.url("address")+"/standin/counts", nil)
	if err != nil {
		return err
	}
	var counts standin.BackendCounts
	if err := json.Unmarshal(data, &counts); err != nil {
		return err
	}
	if counts.Total < lines {
		return fmt.Errorf("backend reports %d executions, its journal holds %d", counts.Total, lines)
	}
	return nil
}

// readJournal counts the executions of each request ID in the journal into executions, and returns the number of lines.
func readJournal(name string, executions map[string]int) (int, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	lines := 0
	for line := range strings.Lines(string(data)) {
		id, _, _ := strings.Cut(line, "\t")
		executions[id]++
		lines++
	}
	return lines, nil
}

// scenarioCheck compares the recorded outcomes with the executions of each request.
type scenarioCheck struct {
	executions map[string]int
	outcomes   map[outcome]int
	doubled    int
	violations []error
	omitted    int
}

func (c *scenarioCheck) addViolation(format string, args ...any) {
	if len(c.violations) >= maxViolationsShown {
		c.omitted++
		return
	}
	c.violations = append(c.violations, fmt.Errorf(format, args...))
}

// checkRequest adds the violations of one request.
func (c *scenarioCheck) checkRequest(id string, rec record) {
	c.outcomes[rec.outcome]++
	ran := c.executions[id]
	if rec.violation != "" {
		c.addViolation("%s: %s", id, rec.violation)
	}
	if ran > 1 && !rec.idempotent {
		c.doubled++
		c.addViolation("%s: not idempotent and ran %d times", id, ran)
	}
	if ran > 0 && (rec.outcome == outcomeNotRun || rec.outcome == outcomeUnsent) {
		c.addViolation("%s: %s but ran %d times", id, rec.outcome, ran)
	}
	if ran == 0 && rec.outcome == outcomeAnswered && rec.status == http.StatusOK {
		c.addViolation("%s: answered but never ran", id)
	}
}

func (c *scenarioCheck) summary(total int) string {
	return fmt.Sprintf("verify requests=%d answered=%d not_run=%d unknown=%d lost=%d unsent=%d doubled=%d faults=%d\n",
		total, c.outcomes[outcomeAnswered], c.outcomes[outcomeNotRun], c.outcomes[outcomeUnknown],
		c.outcomes[outcomeLost], c.outcomes[outcomeUnsent], c.doubled, len(c.violations)+c.omitted)
}

func (c *scenarioCheck) err() error {
	if c.omitted > 0 {
		return fmt.Errorf("%w\nand %d more", errors.Join(c.violations...), c.omitted)
	}
	return errors.Join(c.violations...)
}
