// Package demonstrator runs the whole system in one process, with stand-ins for the platform and the backend servers,
// and reports what callers observe under load. All components communicate over loopback sockets.
package demonstrator

import (
	"context"
	_ "embed" // for fleet.json
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/loadgenerator"
)

const (
	requestCount = 4000
	callerCount  = 24
	serviceTime  = 5 * time.Millisecond
)

//go:embed fleet.json
var fleetJSON []byte

// ErrGuaranteeViolated reports that a request was lost, reported as not run but executed, answered but never executed,
// executed more than once although its method is not GET, or answered with the response to another request.
var ErrGuaranteeViolated = errors.New("delivery guarantee violated")

// Config configures a Demonstrator.
type Config struct {
	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
	// Output receives the report.
	Output io.Writer
}

// Demonstrator runs the demonstration and the experiments.
type Demonstrator struct{ config Config }

// New returns a Demonstrator.
func New(config Config) *Demonstrator { return &Demonstrator{config: config} }

// Run starts a small system in two regions, sends a fixed number of requests, prints the report and stops the system.
// It returns an error that wraps ErrGuaranteeViolated if the report shows a violation or a lost request.
func (d *Demonstrator) Run(ctx context.Context) error {
	plan := Plan{
		Locations: []Location{
			{"sierra-norte-1", "sierra-norte"}, {"sierra-norte-2", "sierra-norte"}, {"austro-1", "austro"}, {"austro-2", "austro"},
		},
		Entries: 8, Upstreams: map[eelgrassbeam.ServiceName]int{"booking": 8, "events": 8},
		ServiceTime: serviceTime, ConnectionCost: time.Millisecond,
	}
	if err := json.Unmarshal(fleetJSON, &plan.Configuration); err != nil {
		return err
	}
	s, err := start(ctx, plan, d.config.Clock, d.config.Log)
	if err != nil {
		return err
	}
	report, err := loadgenerator.New(loadgenerator.Config{
		Entries: s.addresses(), Mix: requestMix, Requests: requestCount, Concurrency: callerCount,
		Seed: seed, Prefix: "demo", Clock: d.config.Clock,
	}).Run(ctx)
	if err == nil {
		err = d.report(report, s.executions())
	}
	return errors.Join(err, s.stop())
}

// requestMix holds the kinds of requests that the demonstration sends, such as table queries and deposits.
var requestMix = []loadgenerator.RequestKind{
	{Service: "booking", Rank: eelgrassbeam.RankUrgent, Host: "booking.example", Method: "GET", Path: "/tables", Weight: 4, Teams: demoTeams},
	{
		Service: "booking", Rank: eelgrassbeam.RankUrgent, Host: "booking.example", Method: "POST", Path: "/confirmations",
		Weight: 2, Teams: demoTeams, Keyed: true,
	},
	{Service: "events", Rank: eelgrassbeam.RankStandard, Host: "events.example", Method: "POST", Path: "/deposits", Weight: 1, Teams: demoTeams},
	{Service: "events", Rank: eelgrassbeam.RankBackground, Host: "events.example", Method: "GET", Path: "/ceremonies", Weight: 3, Teams: demoTeams},
}

var demoTeams = []eelgrassbeam.TeamID{"quito", "cuenca", "guayaquil"}

// report prints the load report and its violations. If there is a violation or a lost request, it returns an error that
// wraps ErrGuaranteeViolated.
func (d *Demonstrator) report(report *loadgenerator.Report, executions map[string]int) error {
	violations := report.Check(executions)
	if err := report.Print(d.config.Output); err != nil {
		return err
	}
	for _, violation := range violations {
		if _, err := fmt.Fprintf(d.config.Output, "fault: %s: %s\n", violation.ID, violation.Description); err != nil {
			return err
		}
	}
	if lost := report.Count(loadgenerator.Lost); len(violations) > 0 || lost > 0 {
		return fmt.Errorf("%w: %d violations, %d requests lost", ErrGuaranteeViolated, len(violations), lost)
	}
	return nil
}
