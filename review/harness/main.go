// Command harness plays the review's cases: it starts the project's daemon as separate processes on loopback addresses,
// with stand-ins for the platform's store, upstreams and clients, and judges by what these have seen.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// scenarios are the cases by name. A scenario returns whether the rule was broken.
var scenarios = map[string]func(r *record, hasTrouble bool) (bool, error){
	"expect": playExpect,
	"linger": playLinger,
	"silent": playSilent,
	"paths":  playPaths,
	"blind":  playBlind,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO RECORD-FILE")
		os.Exit(exitCantRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	isBroken, err := scenarios[name](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return exitCantRun
	case isBroken:
		r.say("result: the rule is broken")
		return exitBroken
	default:
		r.say("result: the rule held")
		return exitHeld
	}
}
