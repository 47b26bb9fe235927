package main

import (
	"flag"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

var backendCommand = command{
	name:  "backend",
	short: "Serve as one upstream that echoes requests and counts its runs.",
	build: func(flags *flag.FlagSet) func() service {
		config := standin.BackendConfig{Clock: clockwork.NewRealClock()}
		flags.Func("id", "`id` of the upstream", func(text string) error { return config.ID.UnmarshalText([]byte(text)) })
		flags.Func("service", "`name` of the service", func(text string) error { return config.Service.UnmarshalText([]byte(text)) })
		flags.IntVar(&config.Slots, "slots", 3, "requests in progress at once")
		flags.IntVar(&config.ConnectionLimit, "connections", 360, "open connections at once; more are closed")
		flags.DurationVar(&config.ConnectionCost, "connection-cost", 0, "time that a new connection holds a slot")
		flags.DurationVar(&config.ProbeCost, "probe-cost", 0, "time that a probe holds a slot")
		flags.DurationVar(&config.ServiceTime, "service-time", 0, "mean time of a request")
		flags.DurationVar(&config.ColdStart, "cold-start", 0, "time from the start during which work costs more")
		flags.Float64Var(&config.ColdFactor, "cold-factor", 4, "cost of cold work in terms of warm work")
		flags.DurationVar(&config.Lag, "lag", 0, "greatest age of a load report")
		flags.IntVar(&config.QueueLimit, "queue-limit", 0, "waiting requests at once, 0 for as many as slots")
		flags.DurationVar(&config.QueueWait, "queue-wait", 0, "longest wait for a slot, 0 for the default")
		flags.Uint64Var(&config.Seed, "seed", 1, "seed of the service times")
		flags.Func("journal", "`file` that gets one line a run", func(name string) error {
			file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			config.Journal = file
			return err
		})
		entry := standin.RegistrarConfig{Clock: config.Clock}
		flags.StringVar(&entry.Store, "register", "", "`url` of the platform's store to register in, empty for none")
		flags.StringVar(&entry.Address, "advertise", "", "`ip:port` that the registration names")
		flags.StringVar(&entry.Zone, "zone", "", "`zone` that the registration names")
		flags.DurationVar(&entry.Heartbeat, "heartbeat", time.Second, "time between two writes of the registration")
		flags.DurationVar(&entry.Drain, "drain", 3*time.Second, "time to serve on after the store knows that the backend leaves")
		return func() service {
			if entry.Store == "" {
				return service{server: standin.NewBackend(config).Server()}
			}
			entry.ID, entry.Service, entry.Slots = config.ID, string(config.Service), config.Slots
			registrar := standin.NewRegistrar(entry)
			config.LeavingFor = registrar.LeavingFor
			return service{server: standin.NewBackend(config).Server(), registrar: registrar}
		}
	},
}
