package main

import (
	"flag"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

var platformCommand = command{
	name:  "platform",
	short: "Serve the object API and the instance list from memory.",
	build: func(flags *flag.FlagSet) func() *http.Server {
		config := standin.PlatformConfig{Clock: clockwork.NewRealClock()}
		flags.IntVar(&config.History, "history", 0, "number of changes kept for watches, 0 for the default")
		return func() *http.Server { return standin.NewPlatform(config).Server() }
	},
}
