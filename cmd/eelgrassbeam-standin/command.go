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

// envPrefix begins the environment variable of each flag.
const envPrefix = "EELGRASSBEAM_STANDIN"

// command describes one subcommand that serves HTTP.
type command struct {
	name  string
	short string
	// build defines flags and returns the maker of the server, called once the flags are parsed.
	build func(*flag.FlagSet) func() service
}

// service is a server and what keeps it known, nil for nothing. On a signal to stop the server serves on until that returns.
type service struct {
	server    *http.Server
	registrar eelgrassbeam.Runner
}

// commands are all subcommands.
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
	address := flags.String("address", "127.0.0.1:0", "`ip:port` to listen on, port 0 for any")
	build := c.build(flags)
	return &ffcli.Command{
		Name:       c.name,
		ShortUsage: "eelgrassbeam-standin " + c.name + " [flags]",
		ShortHelp:  c.short,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, build(), log.WithField("command", c.name))
		},
	}
}
