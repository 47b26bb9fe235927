package test

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam"
)

const readyTimeout = 30 * time.Second

// startPlatform starts the platform stand-in: platform NAME [FLAGS].
func startPlatform(w *world, args []string) (string, error) {
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
	toPlatform, err := w.links.add(args[0]+"-platform", w.platform.process.address("address"))
	if err != nil {
		return "", err
	}
	flags := append([]string{
		"--seeds", w.seeds(),
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

// seeds returns the peer addresses of the entries so far.
func (w *world) seeds() string {
	var addresses []string
	for _, n := range w.nodes {
		if n.role == roleEntry {
			addresses = append(addresses, n.front.address())
		}
	}
	return strings.Join(addresses, ",")
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
		if _, err := commands[step[0]].call(w, step[1:]); err != nil {
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
	if err := n.process.unguard(); err != nil {
		return nil, err
	}
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

// eachNode returns the command that runs the action on each named node.
func eachNode(action func(*node) error) func(*world, []string) (string, error) {
	return func(w *world, args []string) (string, error) {
		for _, name := range args {
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
}

// eachLink returns the command that runs the action on each link of the named nodes.
func eachLink(action func(*link) error) func(*world, []string) (string, error) {
	return func(w *world, args []string) (string, error) {
		for _, name := range args {
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
}

// waitReady waits until the entry is ready.
func (n *node) waitReady() error {
	out, err := poll(readyTimeout, func() (string, bool, error) {
		out, err := control(http.MethodGet, n.url("operator")+"/readyz", nil)
		return string(out), err == nil, err
	})
	if err != nil {
		return fmt.Errorf("%w\n%s\n%s", err, out, n.process.tail())
	}
	return nil
}

// kill ends the process at once.
func (n *node) kill() error {
	n.killed = true
	n.process.kill()
	return n.refuse()
}

// refuse makes the link refuse connections, as the instance does without the process.
func (n *node) refuse() error {
	if n.front == nil {
		return nil
	}
	return n.front.cut()
}

// stop asks the process to end and waits until it does.
func (n *node) stop() error {
	n.killed = true
	return errors.Join(n.process.stop(), n.refuse())
}

func signalNode(s syscall.Signal) func(*node) error {
	return func(n *node) error { return n.process.signal(s) }
}

// restart starts the node's process again, behind the same links: restart NAME.
func restart(w *world, args []string) (string, error) {
	n, err := w.node(args[0])
	if err != nil {
		return "", err
	}
	if n.role == rolePlatform {
		return "", errors.New("a platform keeps its objects in memory and can't be restarted")
	}
	if err := n.kill(); err != nil {
		return "", err
	}
	if err := n.process.start(); err != nil {
		return "", err
	}
	return "", w.connect(args[0], n)
}
