// Package test runs end-to-end scenarios and soak tests against real processes behind fault-injecting proxies.
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

// maxParallelScripts is the number of scripts that run concurrently.
const maxParallelScripts = "2"

// binDir is the directory that holds the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", maxParallelScripts); err != nil {
		panic(err)
	}
	os.Exit(run(m))
}

// run builds the binaries with the race detector and runs the tests. It returns the exit status.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eelgrassbeam-test")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-race", "-p", "2", "-o", dir, "../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs under test failed:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: testscriptCommands()})
}

// scenarioKey is the key under which testscript.Env.Values holds a script's scenario.
type scenarioKey struct{}

// setup prepares a script's environment and writes fleet.json and moved.json to its work directory;
// moved.json adds the host moved.example.
func setup(env *testscript.Env) error {
	sc := newScenario(env)
	env.Values[scenarioKey{}] = sc
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("GORACE", "halt_on_error=1")
	env.Defer(sc.close)
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

// command is a custom script command. run returns what the command prints.
type command struct {
	run     func(sc *scenario, args []string) (string, error)
	minArgs int
	usage   string
}

// commands are the script commands that this package adds to those of testscript.
var commands map[string]command

func init() {
	commands = map[string]command{
		"platform":    {startPlatform, 1, "NAME [FLAGS]"},
		"backend":     {startBackend, 4, "NAME SERVICE ZONE REGION [FLAGS]"},
		"entry":       {startEntry, 3, "NAME ZONE REGION [FLAGS]"},
		"fleet":       {startFleet, 0, "[ENTRY FLAGS]"},
		"waitready":   {forEachNode((*node).waitReady), 1, "NAMES"},
		"sigkill":     {forEachNode((*node).kill), 1, "NAMES"},
		"shutdown":    {forEachNode((*node).stop), 1, "NAMES"},
		"freeze":      {forEachNode(signalNode(syscall.SIGSTOP)), 1, "NAMES"},
		"thaw":        {forEachNode(signalNode(syscall.SIGCONT)), 1, "NAMES"},
		"restart":     {restart, 1, "NAME"},
		"cut":         {forEachLink((*link).cut), 1, "NAMES"},
		"heal":        {forEachLink((*link).heal), 1, "NAMES"},
		"freezeconns": {forEachLink((*link).freeze), 1, "NAMES"},
		"slow":        {slow, 2, "NAME DURATION"},
		"fault":       {fault, 1, "NAME [JSON]"},
		"state":       {setState, 2, "NAME STATE"},
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

// call runs the command, or returns an error if it has fewer than minArgs arguments.
func (c command) call(sc *scenario, args []string) (string, error) {
	if len(args) < c.minArgs {
		return "", fmt.Errorf("too few arguments: want %s", c.usage)
	}
	return c.run(sc, args)
}

// testscriptCommands adapts the commands to testscript. A command that is expected to fail prints its error to stderr.
func testscriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	adapted := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, c := range commands {
		adapted[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			sc, _ := ts.Value(scenarioKey{}).(*scenario)
			sc.ts = ts
			out, err := c.call(sc, args)
			_, _ = fmt.Fprint(ts.Stdout(), out)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded: want an error", name)
			case neg:
				_, _ = fmt.Fprintln(ts.Stderr(), err)
			default:
				ts.Check(err)
			}
		}
	}
	return adapted
}

// waitFor repeats a command until it succeeds and its output matches: waitfor DURATION REGEXP COMMAND ARGS.
func waitFor(sc *scenario, args []string) (string, error) {
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
		return "", fmt.Errorf("unknown command %q", args[2])
	}
	out, err := poll(wait, func() (string, bool, error) {
		out, err := repeated.call(sc, args[3:])
		return out, err == nil && pattern.MatchString(out), err
	})
	if err != nil {
		return out, fmt.Errorf("waitfor %s: %w\n%s", strings.Join(args, " "), err, out)
	}
	return out, nil
}

// poll runs check every 20 ms until it reports true, and returns its last output. If wait passes first, it returns an
// error joined with that of the last check.
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
			return out, errors.Join(fmt.Errorf("condition not met within %s", wait), err)
		}
	}
}
