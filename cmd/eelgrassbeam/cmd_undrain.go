package main

import (
	"context"
	"fmt"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// undrain removes all drain exceptions of a target.
var undrain = command{
	name:        "undrain",
	description: "give new work to an upstream, entry, zone or region again",
	arguments:   []string{"TARGET-KIND", "NAME"},
	flags:       []string{"reason", "author", "wait"},
	action: func(ctx context.Context, s *session, args []string) error {
		exceptions, err := s.exceptions(ctx)
		if err != nil {
			return err
		}
		isFound := false
		for _, e := range exceptions {
			if e.Setting != eelgrassbeam.SettingDrain || string(e.TargetKind) != args[0] || e.Target != args[1] {
				continue
			}
			isFound = true
			if err := s.removeException(ctx, e.ID, s.options.reason); err != nil {
				return err
			}
		}
		if !isFound {
			return fmt.Errorf("%s %s is not drained: the entry that answered has no drain exception for it", args[0], args[1])
		}
		return nil
	},
}
