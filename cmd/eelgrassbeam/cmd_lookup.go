package main

import (
	"context"
	"fmt"

	genlookup "github.com/eelgrassbeam/eelgrassbeam/gen/lookup"
)

// lookup prints the answer of an entry to a caller's lookup.
var lookup = command{
	name:        "lookup",
	description: "show which entries a caller is told to use",
	flags:       []string{"caller-url", "client"},
	action: func(ctx context.Context, s *session, _ []string) error {
		c := newConnection(s.options.callerURL, s.client, false)
		answer, err := c.lookup().Lookup(ctx, &genlookup.LookupPayload{Client: optional(s.options.client)})
		if err != nil {
			return err
		}
		rows := []string{
			fmt.Sprintf("region %s, reason %s, configuration version %d, keep for %d s",
				answer.Region, answer.Reason, answer.ConfigurationVersion, answer.TTLSeconds),
			row("ENTRY", "ADDRESS", "ZONE"),
		}
		for _, e := range answer.Entries {
			rows = append(rows, row(e.ID, e.Address, e.Zone))
		}
		return s.print(newLookupOutput(answer), rows)
	},
}

// lookupOutput is a lookup answer with the field names of the HTTP API.
type lookupOutput struct {
	Entries              []lookupEntry `json:"entries"`
	TTLSeconds           int           `json:"ttl_seconds"`
	ConfigurationVersion uint64        `json:"configuration_version"`
	Region               string        `json:"region"`
	Reason               string        `json:"reason"`
}

type lookupEntry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

func newLookupOutput(answer *genlookup.LookupAnswer) lookupOutput {
	out := lookupOutput{
		TTLSeconds: answer.TTLSeconds, ConfigurationVersion: answer.ConfigurationVersion,
		Region: answer.Region, Reason: answer.Reason,
	}
	for _, e := range answer.Entries {
		out.Entries = append(out.Entries, lookupEntry{ID: e.ID, Address: e.Address, Zone: e.Zone})
	}
	return out
}
