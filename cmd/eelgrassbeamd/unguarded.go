//go:build unguarded

package main

import (
	"fmt"
	"os"

	"github.com/eelgrassbeam/eelgrassbeam/steerer"
)

func init() {
	if err := steerer.CheckUnguarded(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeamd:", err)
		os.Exit(exitUsage)
	}
}
