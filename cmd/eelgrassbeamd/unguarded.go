//go:build unguarded

package main

import (
	"fmt"
	"os"

	"github.com/eelgrassbeam/eelgrassbeam/fronter"
	"github.com/eelgrassbeam/eelgrassbeam/steerer"
	"github.com/eelgrassbeam/eelgrassbeam/unguarder"
)

func init() {
	if err := unguarder.CheckNames(append(steerer.Guards(), fronter.Guards()...)); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeamd:", err)
		os.Exit(exitUsage)
	}
}
