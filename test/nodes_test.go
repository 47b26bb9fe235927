package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const readyTimeout = 30 * time.Second

// startPlatform starts the platform stand-in: platform NAME [FLAGS].
func startPlatform(w *world, args []string) (string, error) {
	if len(args) < 1 {
		return "", errors.New("usage: platform NAME [FLAGS]")
	}
	n, err := w.start(args[0], rolePlatform, "eelgrassbeam-standin", append([]string{"platform"}, args[1:]...))
	if err != nil {
		return "", err
	}
	w.platform = n
	w.ts.Setenv(args[0]+"_URL", n.url("address"))
	return "", nil
}

// startBackend starts a backend stand-in and lists it: backend NAME SERVICE ZONE REGION [FLAGS].
func startBackend(w *world, args []string) (string, error) {
	if len(args) < 4 {
		return "", errors.New("usage: backend NAME SERVICE ZONE REGION [FLAGS]")
	}
	journal := filepath.Join(w.dir, args[0]+".journal")
	flags := append([]string{"backend", "--id", args[0], "--service", args[1], "--journal", journal}, args[4:]...)
	n, err := w.start(args[0], roleBackend, "eelgrassbeam-standin", flags)
	if err != nil {
		return "", err
	}
	n.journal = journal
	n.row = eelgrassbeam.Instance{
		ID: args[0], Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive,
		Service: eelgrassbeam.ServiceName(args[1]), Zone: eelgrassbeam.ZoneID(args[2]), Region: eelgrassbeam.RegionID(args[3]),
	}
	return "", w.connect(args[0], n)
}

// startEntry starts an entry and lists it: entry NAME ZONE REGION [FLAGS].
func startEntry(w *world, args []string) (string, error) {
	if len(args) < 3 {
		return "", errors.New("usage: entry NAME ZONE REGION [FLAGS]")
	}
	if w.platform == nil {
		return "", errors.New("no platform is started")
	}
	toPlatform, err := w.links.add(args[0]+"-platform", w.platform.process.address("address"))
	if err != nil {
		return "", err
	}
	flags := append([]string{
		"--id", args[0], "--zone", args[1], "--region", args[2],
		"--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0",
		"--platform-url", "http://" + toPlatform.address(),
		"--load-path", "/standin/load", "--probe-path", "/standin/health",
	}, args[3:]...)
	n, err := w.start(args[0], roleEntry, "eelgrassbeamd", flags)
	if err != nil {
		return "", err
	}
	n.platform = toPlatform
	n.row = eelgrassbeam.Instance{
		ID: args[0], Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
		Zone: eelgrassbeam.ZoneID(args[1]), Region: eelgrassbeam.RegionID(args[2]),
	}
	return "", w.connect(args[0], n)
}

// startFleet starts three entries in two zones with their backends and waits until they are ready: fleet [ENTRY FLAGS].
func startFleet(w *world, args []string) (string, error) {
	steps := [][]string{
		{"platform", "p"},
		{"config", "fleet.json"},
		{"backend", "b1", "booking", "z1", "r1"},
		{"backend", "b2", "booking", "z1", "r1"},
		{"backend", "b3", "booking", "z2", "r1"},
		{"backend", "b4", "booking", "z2", "r1"},
		{"backend", "v1", "events", "z1", "r1"},
		{"backend", "v2", "events", "z2", "r1"},
		append([]string{"entry", "e1", "z1", "r1"}, args...),
		append([]string{"entry", "e2", "z2", "r1"}, args...),
		append([]string{"entry", "e3", "z1", "r1"}, args...),
		{"waitready", "e1", "e2", "e3"},
	}
	for _, step := range steps {
		if _, err := commands[step[0]](w, step[1:]); err != nil {
			return "", fmt.Errorf("%s: %w", strings.Join(step, " "), err)
		}
	}
	return "", nil
}

// start starts the node's process.
func (w *world) start(name string, r role, binary string, args []string) (*node, error) {
	if _, ok := w.nodes[name]; ok {
		return nil, fmt.Errorf("node %q stands already", name)
	}
	n := &node{role: r, process: &process{
		binary: filepath.Join(binaries, binary), args: args, log: filepath.Join(w.dir, name+".log"),
		env: append(os.Environ(), "GORACE="+w.ts.Getenv("GORACE")),
	}}
	if err := n.process.start(); err != nil {
		return nil, err
	}
	w.nodes[name] = n
	return n, nil
}

// connect leads the node's link to its process and lists the link's address.
func (w *world) connect(name string, n *node) error {
	behind := "address"
	if n.role == roleEntry {
		behind = "peer"
	}
	var err error
	if n.front == nil {
		n.front, err = w.links.add(name, n.process.address(behind))
	} else {
		err = n.front.lead(n.process.address(behind))
	}
	if err != nil {
		return err
	}
	front, err := netip.ParseAddrPort(n.front.address())
	if err != nil {
		return err
	}
	if n.role == roleBackend {
		n.row.Address = front
		w.ts.Setenv(name+"_URL", n.url("address"))
		return w.register(n)
	}
	n.row.PeerAddress = front
	caller, err := n.addrPort("caller")
	if err != nil {
		return err
	}
	operator, err := n.addrPort("operator")
	if err != nil {
		return err
	}
	n.row.Address, n.row.OperatorAddress = caller, operator
	w.ts.Setenv(name+"_CALLER", caller.String())
	w.ts.Setenv(name+"_OPERATOR", operator.String())
	w.ts.Setenv(name+"_URL", n.url("caller"))
	return w.register(n)
}

// each runs the action on each named node.
func (w *world) each(names []string, action func(*node) error) (string, error) {
	if len(names) == 0 {
		return "", errors.New("name at least one node")
	}
	for _, name := range names {
		n, err := w.node(name)
		if err != nil {
			return "", err
		}
		if err := action(n); err != nil {
			return "", fmt.Errorf("%s: %w", name, err)
		}
	}
	return "", nil
}

// waitReady waits until the entries are ready: waitready NAMES.
func waitReady(w *world, args []string) (string, error) {
	return w.each(args, func(n *node) error {
		out, err := poll(readyTimeout, func() (string, bool, error) {
			out, err := control(http.MethodGet, n.url("operator")+"/readyz", nil)
			return string(out), err == nil, err
		})
		if err != nil {
			return fmt.Errorf("%w\n%s\n%s", err, out, n.process.tail())
		}
		return nil
	})
}

// kill ends processes with SIGKILL: sigkill NAMES. testscript has a kill of its own.
func kill(w *world, args []string) (string, error) {
	return w.each(args, func(n *node) error {
		n.killed = true
		n.process.kill()
		return nil
	})
}

// stopNode asks processes to end and waits until they do: shutdown NAMES. testscript has a stop of its own.
func stopNode(w *world, args []string) (string, error) {
	return w.each(args, func(n *node) error {
		n.killed = true
		return n.process.stop()
	})
}

func freeze(w *world, args []string) (string, error) {
	return w.each(args, func(n *node) error { return n.process.signal(syscall.SIGSTOP) })
}

func thaw(w *world, args []string) (string, error) {
	return w.each(args, func(n *node) error { return n.process.signal(syscall.SIGCONT) })
}

// restart starts ended processes again, behind the same links.
func restart(w *world, args []string) (string, error) {
	for _, name := range args {
		n, err := w.node(name)
		if err != nil {
			return "", err
		}
		n.process.kill()
		n.killed = true
		if err := n.process.start(); err != nil {
			return "", err
		}
		if n.role == rolePlatform {
			return "", errors.New("a platform keeps its objects in memory and can't be restarted")
		}
		if err := w.connect(name, n); err != nil {
			return "", err
		}
	}
	return "", nil
}

// eachLink runs the action on each link of the named nodes.
func (w *world) eachLink(names []string, action func(*link) error) (string, error) {
	for _, name := range names {
		found, err := w.linksOf(name)
		if err != nil {
			return "", err
		}
		for _, l := range found {
			if err := action(l); err != nil {
				return "", err
			}
		}
	}
	return "", nil
}

func cut(w *world, args []string) (string, error) { return w.eachLink(args, (*link).cut) }

func heal(w *world, args []string) (string, error) { return w.eachLink(args, (*link).heal) }

func freezeConnections(w *world, args []string) (string, error) {
	return w.eachLink(args, (*link).freeze)
}

// slow delays a node's links: slow NAME DURATION.
func slow(w *world, args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("usage: slow NAME DURATION")
	}
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return "", err
	}
	return w.eachLink(args[:1], func(l *link) error { return l.slow(delay.Milliseconds()) })
}

// fault sets a stand-in's faults, or prints them: fault NAME [JSON].
func fault(w *world, args []string) (string, error) {
	if len(args) < 1 {
		return "", errors.New("usage: fault NAME [JSON]")
	}
	n, err := w.node(args[0])
	if err != nil {
		return "", err
	}
	url, err := n.controlURL()
	if err != nil {
		return "", err
	}
	if len(args) == 1 {
		out, err := control(http.MethodGet, url, nil)
		return string(out), err
	}
	_, err = control(http.MethodPut, url, []byte(args[1]))
	return "", err
}

// putState changes an instance's state on the list: state NAME STATE.
func putState(w *world, args []string) (string, error) {
	if len(args) != 2 || w.platform == nil {
		return "", errors.New("usage: state NAME STATE, with a platform")
	}
	url := w.platform.url("address") + "/control/instances/" + args[0] + "/state"
	_, err := control(http.MethodPut, url, fmt.Appendf(nil, `{"state":%q}`, args[1]))
	return "", err
}

// putConfiguration stores the file as the fleet's configuration, unchecked: config FILE.
func putConfiguration(w *world, args []string) (string, error) {
	if len(args) != 1 || w.platform == nil {
		return "", errors.New("usage: config FILE, with a platform")
	}
	value, err := os.ReadFile(w.ts.MkAbs(args[0]))
	if err != nil {
		return "", err
	}
	url := w.platform.url("address") + "/v1/objects/configuration/fleet"
	body, err := json.Marshal(eelgrassbeam.Object{Value: value})
	if err != nil {
		return "", err
	}
	out, err := control(http.MethodPost, url, body)
	if err == nil {
		return string(out), nil
	}
	var current eelgrassbeam.Object
	if err := errors.Join(err, json.Unmarshal(out, &current)); current.Version == 0 {
		return "", err
	}
	current.Value = value
	if body, err = json.Marshal(current); err != nil {
		return "", err
	}
	out, err = control(http.MethodPut, url, body)
	return string(out), err
}

// logs prints the lines of a node's log that match: logs NAME REGEXP.
func logs(w *world, args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("usage: logs NAME REGEXP")
	}
	n, err := w.node(args[0])
	if err != nil {
		return "", err
	}
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return "", err
	}
	data, err := os.ReadFile(n.process.log)
	if err != nil {
		return "", err
	}
	var found strings.Builder
	for line := range strings.Lines(string(data)) {
		if pattern.MatchString(line) {
			found.WriteString(line)
		}
	}
	return found.String(), nil
}

// exits runs a program to its end, checks its exit status and prints its output: exits STATUS PROGRAM ARGS.
func exits(_ *world, args []string) (string, error) {
	if len(args) < 2 {
		return "", errors.New("usage: exits STATUS PROGRAM ARGS")
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(binaries, args[1]), args[2:]...)
	cmd.WaitDelay = time.Second
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return string(out), err
	}
	if got := cmd.ProcessState.ExitCode(); got != want {
		return string(out), fmt.Errorf("exit status %d: want %d", got, want)
	}
	return string(out), nil
}
