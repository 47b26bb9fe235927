package main

import (
	"context"
	"fmt"
)

var showVersion = command{
	name:        "version",
	description: "print the program's version",
	action: func(_ context.Context, s *session, _ []string) error {
		_, err := fmt.Fprintln(s.stdout, version)
		return err
	},
}
