package main

import (
	"flag"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

var platformCommand = command{
	name:  "platform",
	short: "Serve the object API and the instance list from memory.",
	build: func(flags *flag.FlagSet) func() service {
		config := standin.PlatformConfig{Clock: clockwork.NewRealClock()}
		flags.IntVar(&config.History, "history", 0, "number of changes kept for watches, 0 for the default")
		flags.DurationVar(&config.Lapse, "lapse", 0, "silence after which an upstream's entry is removed, 0 for never")
		return func() service { return service{server: standin.NewPlatform(config).Server()} }
	},
}
