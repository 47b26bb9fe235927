// Command eelgrassbeam is the command-line client for operators.
package main

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// version is set by the linker.
var version = "development"

// environment holds what a command takes from its process, so that tests can replace it.
type environment struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	clock  eelgrassbeam.Clock
	// newID returns a unique id for a change.
	newID func() eelgrassbeam.ChangeID
	// author is the default author of changes; a flag overrides it.
	author string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, processEnvironment(), os.Args[1:])
	stop()
	os.Exit(status)
}

func processEnvironment() environment {
	return environment{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		clock:  clockwork.NewRealClock(),
		newID:  func() eelgrassbeam.ChangeID { return eelgrassbeam.ChangeID("change-" + rand.Text()) },
		author: currentUser(),
	}
}

func currentUser() string {
	account, err := user.Current()
	if err != nil {
		return ""
	}
	return account.Username
}
