// Command eelgrassbeam-demo runs the whole system on embedded stand-ins and prints what callers saw.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam/demonstrator"
)

func main() {
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	d := demonstrator.New(demonstrator.Config{Clock: clockwork.NewRealClock(), Log: log, Output: os.Stdout})
	if err := d.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeam-demo:", err)
		os.Exit(1)
	}
}
