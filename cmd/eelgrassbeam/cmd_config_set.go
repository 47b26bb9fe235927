package main

import (
	"context"
	"encoding/json"
)

// configSet changes one value of the configuration in force.
var configSet = command{
	name:        "config set",
	description: "set one value, such as defaults.services.booking.ranks.urgent.floor 0.5",
	arguments:   []string{"PATH", "VALUE"},
	flags:       []string{"author", "note", "wait", "dry-run"},
	action: func(ctx context.Context, s *session, args []string) error {
		data, configuration, err := s.configuration(ctx)
		if err != nil {
			return err
		}
		document, err := parseDocument(data)
		if err != nil {
			return err
		}
		if err := setValueAt(document, args[0], parseValue(args[1])); err != nil {
			return err
		}
		changed, err := json.Marshal(document)
		if err != nil {
			return err
		}
		base := storedChange{Version: configuration.Version, Era: configuration.Era, Change: configuration.Change}
		return s.applyDocument(ctx, base, changed)
	},
}
