// Command harness plays the cases of the second review: stand-ins for clients, upstreams and the platform around the
// project's own processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenarios play a case and report whether its rule was broken.
var scenarios = map[string]func(r *record, hasTrouble bool) (isBroken bool, err error){
	"foreign":   playForeign,
	"forgotten": playForgotten,
	"grace":     playGrace,
	"junk":      playJunk,
	"spoilt":    playSpoilt,
}

func main() { os.Exit(run2(os.Args[1:])) }

func run2(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitCannotRun
	}
	r, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	isBroken, err := scenarios[arguments[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("not run: %v", err)
		return exitCannotRun
	case isBroken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
