package main

import (
	"context"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const drainValue = "true"

// drain stops sending new requests to a target. Requests in progress complete normally.
var drain = command{
	name:        "drain",
	description: "take new work off an upstream, entry, zone or region",
	arguments:   []string{"TARGET-KIND", "NAME"},
	flags:       []string{"reason", "expires-in", "author", "note", "wait"},
	action: func(ctx context.Context, s *session, args []string) error {
		return s.addException(ctx, eelgrassbeam.Exception{
			Setting: eelgrassbeam.SettingDrain, TargetKind: eelgrassbeam.TargetKind(args[0]),
			Target: args[1], Value: drainValue,
		})
	},
}
