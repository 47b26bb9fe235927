// Command eelgrassbeam-demo runs the whole system in one process with embedded stand-ins and prints what callers
// observed.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/demonstrator"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeam-demo:", err)
		os.Exit(1)
	}
}

func run() error {
	experiment := flag.String("experiment", "", "experiment to run, flood or shift; the demonstration if empty")
	user := flag.String("user", "consorcio", "user whose deployment an experiment runs: consorcio or sencnik")
	directory := flag.String("examples", "examples", "directory with the example configurations")
	phaseLength := flag.Duration("length", 5*time.Second, "duration of each phase of an experiment")
	flag.Parse()
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	d := demonstrator.New(demonstrator.Config{Clock: clockwork.NewRealClock(), Log: log, Output: os.Stdout})
	if *experiment == "" {
		return d.Run(context.Background())
	}
	e, err := loadExperiment(*user, *directory)
	if err != nil {
		return err
	}
	e.Length = *phaseLength
	switch *experiment {
	case "flood":
		return d.Flood(context.Background(), e)
	case "shift":
		return d.Shift(context.Background(), e)
	default:
		return fmt.Errorf("unknown experiment %q: want flood or shift", *experiment)
	}
}

// loadExperiment returns the experiment of the example organization with its configuration from the directory.
func loadExperiment(user, directory string) (demonstrator.Experiment, error) {
	e, ok := experiments[user]
	if !ok {
		return e, fmt.Errorf("unknown user %q: want consorcio or sencnik", user)
	}
	data, err := os.ReadFile(directory + "/" + user + ".json")
	if err != nil {
		return e, err
	}
	return e, json.Unmarshal(data, &e.Plan.Configuration)
}

// experimentServiceTime is the mean service time of a request in experiments.
const experimentServiceTime = 60 * time.Millisecond

// experiments holds the deployment of each example organization; loadExperiment adds the configuration.
var experiments = map[string]demonstrator.Experiment{
	"consorcio": {
		Service: "booking", Teams: []eelgrassbeam.TeamID{"quito", "cuenca", "guayaquil"},
		Plan: demonstrator.Plan{
			Locations: []demonstrator.Location{
				{Zone: "sierra-norte-1", Region: "sierra-norte"},
				{Zone: "austro-1", Region: "austro"},
				{Zone: "costa-1", Region: "costa"},
				{Zone: "sierra-norte-2", Region: "sierra-norte"},
				{Zone: "austro-2", Region: "austro"},
				{Zone: "costa-2", Region: "costa"},
			},
			Entries: 9, Upstreams: map[eelgrassbeam.ServiceName]int{"booking": 16, "events": 14},
			ServiceTime: experimentServiceTime, ConnectionCost: time.Millisecond,
		},
	},
	"sencnik": {
		Service: "orders", Teams: []eelgrassbeam.TeamID{"workshop-1", "workshop-2", "workshop-3"},
		Plan: demonstrator.Plan{
			Locations: []demonstrator.Location{
				{Zone: "ljubljana-1", Region: "ljubljana"},
				{Zone: "maribor-1", Region: "maribor"},
				{Zone: "koper-1", Region: "koper"},
				{Zone: "ljubljana-2", Region: "ljubljana"},
				{Zone: "maribor-2", Region: "maribor"},
				{Zone: "koper-2", Region: "koper"},
			},
			Entries: 9, Upstreams: map[eelgrassbeam.ServiceName]int{"orders": 12, "stock": 12},
			ServiceTime: experimentServiceTime, ConnectionCost: time.Millisecond, ProbeCost: 6 * time.Millisecond,
		},
	},
}
