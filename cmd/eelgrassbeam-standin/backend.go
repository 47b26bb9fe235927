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
	short: "Serve as one upstream that echoes requests and counts executions.",
	build: func(flags *flag.FlagSet) func() standinServer {
		config := standin.BackendConfig{Clock: clockwork.NewRealClock()}
		flags.Func("id", "`id` of the upstream", func(text string) error { return config.ID.UnmarshalText([]byte(text)) })
		flags.Func("service", "`name` of the service", func(text string) error { return config.Service.UnmarshalText([]byte(text)) })
		flags.IntVar(&config.Slots, "slots", 3, "maximum number of requests in progress")
		flags.IntVar(&config.ConnectionLimit, "connections", 360, "maximum number of open connections; further ones are closed")
		flags.DurationVar(&config.ConnectionCost, "connection-cost", 0, "extra time that the first request of a connection holds its slot")
		flags.DurationVar(&config.ProbeCost, "probe-cost", 0, "time that a probe holds a slot")
		flags.DurationVar(&config.ServiceTime, "service-time", 0, "mean service time of a request")
		flags.DurationVar(&config.ColdStart, "cold-start", 0, "time after the start during which requests take longer")
		flags.Float64Var(&config.ColdFactor, "cold-factor", 4, "service time directly after a cold start, as a multiple of the warm one")
		flags.DurationVar(&config.Lag, "lag", 0, "maximum age of a load report")
		flags.IntVar(&config.QueueLimit, "queue-limit", 0, "maximum number of waiting requests, 0 for the number of slots")
		flags.DurationVar(&config.QueueWait, "queue-wait", 0, "maximum wait for a slot, 0 for the default")
		flags.Uint64Var(&config.Seed, "seed", 1, "random seed of the service times")
		flags.Func("journal", "`file` to which each execution appends one line", func(name string) error {
			file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			config.Journal = file
			return err
		})
		registration := standin.RegistrarConfig{Clock: config.Clock}
		flags.StringVar(&registration.Store, "register", "", "`url` of the platform's store to register with, empty for none")
		flags.StringVar(&registration.Address, "advertise", "", "`ip:port` to register")
		flags.StringVar(&registration.Zone, "zone", "", "`zone` to register")
		flags.DurationVar(&registration.Heartbeat, "heartbeat", time.Second, "interval between writes of the registration")
		flags.DurationVar(&registration.Drain, "drain", 3*time.Second, "time to keep serving after the store has recorded that the backend is leaving")
		return func() standinServer {
			if registration.Store == "" {
				return standinServer{server: standin.NewBackend(config).Server()}
			}
			registration.ID, registration.Service, registration.Slots = config.ID, string(config.Service), config.Slots
			registrar := standin.NewRegistrar(registration)
			config.DrainingFor = registrar.DrainingFor
			return standinServer{server: standin.NewBackend(config).Server(), registrar: registrar}
		}
	},
}
