// Command eelgrassbeam-standin runs a stand-in for the platform or for a backend server.
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

// exitUsage is the exit status for invalid arguments.
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
		return printError(err, exitUsage)
	}
	if err := root.Run(ctx); err != nil {
		return printError(err, 1)
	}
	return 0
}

func printError(err error, status int) int {
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
