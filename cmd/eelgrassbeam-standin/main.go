// Command eelgrassbeam-standin runs stand-ins for the platform and for backend servers.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"
)

// exitUsage is the exit status of wrong arguments.
const exitUsage = 2

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		Name:        "eelgrassbeam-standin",
		ShortUsage:  "eelgrassbeam-standin <command> [flags]",
		Subcommands: subcommands(newLogger()),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		return report(err, exitUsage)
	}
	if err := root.Run(ctx); err != nil {
		return report(err, 1)
	}
	return 0
}

func report(err error, status int) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return status
}

func newLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	return log
}
