package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// environmentPrefix is the prefix of the environment variable that sets each flag.
const environmentPrefix = "EELGRASSBEAM_STANDIN"

// command describes one subcommand, which serves HTTP.
type command struct {
	name  string
	short string
	// build defines the flags and returns a function that creates the server once the flags are parsed.
	build func(*flag.FlagSet) func() standinServer
}

// standinServer is an HTTP server with the registrar that registers it with the platform; the registrar may be nil. On
// shutdown the server keeps serving until the registrar returns.
type standinServer struct {
	server    *http.Server
	registrar eelgrassbeam.Runner
}

var commands = []command{platformCommand, backendCommand}

func subcommands(log logrus.FieldLogger) []*ffcli.Command {
	var list []*ffcli.Command
	for _, c := range commands {
		list = append(list, c.subcommand(log))
	}
	return list
}

func (c command) subcommand(log logrus.FieldLogger) *ffcli.Command {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:0", "`ip:port` to listen on, port 0 for a free one")
	build := c.build(flags)
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: "eelgrassbeam-standin " + c.name + " [flags]",
		ShortHelp:  c.short,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, build(), log.WithField("command", c.name))
		},
	}
}
