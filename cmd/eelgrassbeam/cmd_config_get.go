package main

import "context"

// configGet prints the configuration in force, as a document that config apply accepts.
var configGet = command{
	name:        "config get",
	description: "print the configuration in force, or the value at a path of it",
	arguments:   []string{"[PATH]"},
	action: func(ctx context.Context, s *session, args []string) error {
		data, _, err := s.configuration(ctx)
		if err != nil {
			return err
		}
		document, err := parseDocument(data)
		if err != nil {
			return err
		}
		if len(args) == 1 {
			if document, err = valueAt(document, args[0]); err != nil {
				return err
			}
		}
		return s.printJSON(document)
	},
}
