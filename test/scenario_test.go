// Package test runs scripted scenarios with real processes behind fault-injecting proxies.
package test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallelScripts bounds the scripts that run at once.
const parallelScripts = "2"

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(err)
	}
	os.Exit(run(m))
}

// run builds the programs once and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eelgrassbeam-test")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-race", "-p", "2", "-o", dir, "../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build of the programs failed:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: wrapped()})
}

// worldKey is the key of a script's world.
type worldKey struct{}

func setup(env *testscript.Env) error {
	w := newWorld(env)
	env.Values[worldKey{}] = w
	env.Setenv("PATH", binaries+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("GORACE", "halt_on_error=1")
	env.Defer(w.close)
	fleet, err := os.ReadFile(filepath.Join("testdata", "fleet.json"))
	if err != nil {
		return err
	}
	moved := strings.Replace(string(fleet), `"booking.example"`, `"booking.example", "moved.example"`, 1)
	return errors.Join(
		os.WriteFile(filepath.Join(env.WorkDir, "fleet.json"), fleet, 0o600),
		os.WriteFile(filepath.Join(env.WorkDir, "moved.json"), []byte(moved), 0o600),
	)
}

// command is one command of scripts, with its least number of arguments.
type command struct {
	run   func(w *world, args []string) (string, error)
	least int
	usage string
}

// commands are the commands of scripts besides testscript's own.
var commands map[string]command

func init() {
	commands = map[string]command{
		"platform":    {startPlatform, 1, "NAME [FLAGS]"},
		"backend":     {startBackend, 4, "NAME SERVICE ZONE REGION [FLAGS]"},
		"entry":       {startEntry, 3, "NAME ZONE REGION [FLAGS]"},
		"fleet":       {startFleet, 0, "[ENTRY FLAGS]"},
		"waitready":   {eachNode((*node).waitReady), 1, "NAMES"},
		"sigkill":     {eachNode((*node).kill), 1, "NAMES"},
		"shutdown":    {eachNode((*node).stop), 1, "NAMES"},
		"freeze":      {eachNode(signalNode(syscall.SIGSTOP)), 1, "NAMES"},
		"thaw":        {eachNode(signalNode(syscall.SIGCONT)), 1, "NAMES"},
		"restart":     {restart, 1, "NAME"},
		"cut":         {eachLink((*link).cut), 1, "NAMES"},
		"heal":        {eachLink((*link).heal), 1, "NAMES"},
		"freezeconns": {eachLink((*link).freeze), 1, "NAMES"},
		"slow":        {slow, 2, "NAME DURATION"},
		"fault":       {fault, 1, "NAME [JSON]"},
		"state":       {putState, 2, "NAME STATE"},
		"config":      {putConfiguration, 1, "FILE"},
		"logs":        {logs, 2, "NAME REGEXP"},
		"exits":       {exits, 2, "STATUS PROGRAM [ARGS]"},
		"call":        {call, 4, "[FLAGS] NAME METHOD HOST PATH [HEADER=VALUE...] [BODY]"},
		"load":        {startLoad, 2, "[FLAGS] NAMES WEIGHT:METHOD:HOST:PATH..."},
		"loaded":      {waitLoaded, 1, "N"},
		"waitload":    {waitLoad, 0, ""},
		"verify":      {verify, 0, ""},
		"waitfor":     {waitFor, 3, "DURATION REGEXP COMMAND [ARGS]"},
	}
}

// call checks the number of arguments and runs the command.
func (c command) call(w *world, args []string) (string, error) {
	if len(args) < c.least {
		return "", fmt.Errorf("want arguments %s", c.usage)
	}
	return c.run(w, args)
}

// wrapped adapts the commands to testscript.
func wrapped() map[string]func(*testscript.TestScript, bool, []string) {
	adapted := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands {
		adapted[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w, _ := ts.Value(worldKey{}).(*world)
			w.ts = ts
			out, err := c.call(w, args)
			_, _ = fmt.Fprint(ts.Stdout(), out)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded", name)
			case neg:
				_, _ = fmt.Fprintln(ts.Stderr(), err)
			default:
				ts.Check(err)
			}
		}
	}
	return adapted
}

// waitFor repeats a command until its output matches: waitfor DURATION REGEXP COMMAND ARGS.
func waitFor(w *world, args []string) (string, error) {
	wait, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return "", err
	}
	repeated, ok := commands[args[2]]
	if !ok {
		return "", fmt.Errorf("no command %q", args[2])
	}
	out, err := poll(wait, func() (string, bool, error) {
		out, err := repeated.call(w, args[3:])
		return out, err == nil && pattern.MatchString(out), err
	})
	if err != nil {
		return out, fmt.Errorf("waitfor %s: %w\n%s", strings.Join(args, " "), err, out)
	}
	return out, nil
}

// poll repeats the check until it holds or the wait is over.
func poll(wait time.Duration, check func() (string, bool, error)) (string, error) {
	deadline := time.After(wait)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		out, ok, err := check()
		if ok {
			return out, nil
		}
		select {
		case <-tick.C:
		case <-deadline:
			return out, errors.Join(fmt.Errorf("does not hold within %s", wait), err)
		}
	}
}
