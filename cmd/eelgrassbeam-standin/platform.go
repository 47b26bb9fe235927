package main

import (
	"flag"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

var platformCommand = command{
	name:  "platform",
	short: "Serve the object API and the instance list from memory.",
	build: func(flags *flag.FlagSet) func() standinServer {
		config := standin.PlatformConfig{Clock: clockwork.NewRealClock()}
		flags.IntVar(&config.History, "history", 0, "number of changes retained for watches, 0 for the default")
		flags.DurationVar(&config.RegistrationTTL, "lapse", 0, "time without a write after which an upstream's registration is removed, 0 for never")
		return func() standinServer { return standinServer{server: standin.NewPlatform(config).Server()} }
	},
}
