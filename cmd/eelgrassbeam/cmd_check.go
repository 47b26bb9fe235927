package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/checker"
	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

// againstInForce is the value of --against for the configuration in the platform's store.
const againstInForce = "in-force"

// checkReport is the output of the command check.
type checkReport struct {
	Version     uint64               `json:"version"`
	Findings    []checker.Finding    `json:"findings"`
	Differences []checker.Difference `json:"differences,omitempty"`
}

// checkConfiguration checks a configuration of the platform before it is sent, with the decoder that entries use.
var checkConfiguration = command{
	name:        "check",
	description: "check a configuration of the platform before it is sent; - reads standard input",
	arguments:   []string{"FILE"},
	flags:       []string{"against", "store-url", "regions"},
	action: func(ctx context.Context, s *session, args []string) error {
		data, err := s.readFile(args[0])
		if err != nil {
			return err
		}
		routing, err := platform.DecodeRouting(data)
		if err != nil {
			return err
		}
		report := checkReport{Version: routing.Version, Findings: checker.Check(routing, checker.Options{Regions: s.regions()})}
		if s.options.against != "" {
			inForce, err := s.routingInForce(ctx)
			if err != nil {
				return err
			}
			report.Differences = checker.Compare(inForce, routing)
		}
		if err := s.print(report, report.rows()); err != nil {
			return err
		}
		if checker.HasErrors(report.Findings) {
			return fmt.Errorf("%w: the configuration has errors", eelgrassbeam.ErrInvalid)
		}
		return nil
	},
}

func (r checkReport) rows() []string {
	rows := []string{fmt.Sprintf("version %d: %d findings, %d differences", r.Version, len(r.Findings), len(r.Differences))}
	for _, finding := range r.Findings {
		rows = append(rows, row(finding.Severity, finding.Place, finding.Problem))
	}
	for _, difference := range r.Differences {
		rows = append(rows, row("change", difference.Place, difference.Change))
	}
	return rows
}

func (s *session) regions() []eelgrassbeam.RegionID {
	var regions []eelgrassbeam.RegionID
	for region := range strings.SplitSeq(s.options.regions, ",") {
		if region = strings.TrimSpace(region); region != "" {
			regions = append(regions, eelgrassbeam.RegionID(region))
		}
	}
	return regions
}

// routingInForce returns the configuration that --against names.
func (s *session) routingInForce(ctx context.Context) (*eelgrassbeam.Routing, error) {
	if s.options.against != againstInForce {
		data, err := s.readFile(s.options.against)
		if err != nil {
			return nil, err
		}
		return platform.DecodeRouting(data)
	}
	if s.options.storeURL == "" {
		return nil, usagef("--against %s: want --store-url", againstInForce)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, err := platform.New(platform.Config{URL: s.options.storeURL, Clock: s.clock, Log: log})
	if err != nil {
		return nil, err
	}
	object, err := store.Get(ctx, platform.KindConfiguration, platform.MainConfiguration)
	if err != nil {
		return nil, err
	}
	return platform.DecodeRouting(object.Value)
}
