//go:build unguarded

package main

import (
	"fmt"
	"os"

	"github.com/eelgrassbeam/eelgrassbeam/directserver"
	"github.com/eelgrassbeam/eelgrassbeam/dispatchserver"
	"github.com/eelgrassbeam/eelgrassbeam/guardselector"
)

func init() {
	if err := guardselector.CheckNames(append(dispatchserver.Guards(), directserver.Guards()...)); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeamd:", err)
		os.Exit(exitUsage)
	}
}
