package demonstrator

import (
	"context"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/loader"
)

// mix is the callers' work: look-ups of tables, confirmations, lists of ceremonies and deposits.
var mix = []loader.Kind{
	{Service: "booking", Rank: eelgrassbeam.RankUrgent, Host: "booking.example", Method: "GET", Path: "/tables", Weight: 4, Customers: houses},
	{
		Service: "booking", Rank: eelgrassbeam.RankUrgent, Host: "booking.example", Method: "POST", Path: "/confirmations",
		Weight: 2, Customers: houses, Keyed: true,
	},
	{Service: "events", Rank: eelgrassbeam.RankStandard, Host: "events.example", Method: "POST", Path: "/deposits", Weight: 1, Customers: houses},
	{Service: "events", Rank: eelgrassbeam.RankBackground, Host: "events.example", Method: "GET", Path: "/ceremonies", Weight: 3, Customers: houses},
}

var houses = []eelgrassbeam.CustomerID{"quito", "cuenca", "guayaquil"}

func (d *Demonstrator) load(ctx context.Context) (*loader.Report, error) {
	var addresses []string
	for _, entry := range d.entries {
		addresses = append(addresses, entry.Entry().Address.String())
	}
	return loader.New(loader.Config{
		Entries: addresses, Mix: mix, Requests: d.config.Requests, Concurrency: callerCount,
		Seed: seed, Prefix: "demo", Clock: d.config.Clock,
	}).Run(ctx)
}

func (d *Demonstrator) report(report *loader.Report) error {
	runs := make(map[string]int)
	for _, backend := range d.backends {
		for id, n := range backend.Counts().Executions {
			runs[id] += n
		}
	}
	faults := report.Check(runs)
	if err := report.Print(d.config.Output); err != nil {
		return err
	}
	for _, fault := range faults {
		if _, err := fmt.Fprintf(d.config.Output, "fault: %s: %s\n", fault.ID, fault.What); err != nil {
			return err
		}
	}
	if lost := report.Count(loader.Lost); len(faults) > 0 || lost > 0 {
		return fmt.Errorf("%w: %d faults, %d requests lost", ErrBroken, len(faults), lost)
	}
	return nil
}
