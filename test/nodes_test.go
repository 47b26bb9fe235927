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
func startPlatform(sc *scenario, args []string) (string, error) {
	n, err := sc.start(args[0], rolePlatform, "eelgrassbeam-standin", append([]string{"platform"}, args[1:]...))
	if err != nil {
		return "", err
	}
	sc.platform = n
	sc.ts.Setenv(args[0]+"_URL", n.url("address"))
	return "", nil
}

// startBackend starts a backend stand-in and registers it: backend NAME SERVICE ZONE REGION [FLAGS].
func startBackend(sc *scenario, args []string) (string, error) {
	journal := filepath.Join(sc.dir, args[0]+".journal")
	flags := append([]string{"backend", "--id", args[0], "--service", args[1], "--journal", journal}, args[4:]...)
	n, err := sc.start(args[0], roleBackend, "eelgrassbeam-standin", flags)
	if err != nil {
		return "", err
	}
	n.journal = journal
	n.instance = eelgrassbeam.Instance{
		ID: args[0], Kind: eelgrassbeam.InstanceBackendServer, State: eelgrassbeam.InstanceLive,
		Service: eelgrassbeam.ServiceName(args[1]), Zone: eelgrassbeam.ZoneID(args[2]), Region: eelgrassbeam.RegionID(args[3]),
	}
	return "", sc.connect(args[0], n)
}

// startEntry starts an entry and registers it: entry NAME ZONE REGION [FLAGS].
func startEntry(sc *scenario, args []string) (string, error) {
	platformLink, err := sc.links.add(args[0]+"-platform", sc.platform.process.address("address"))
	if err != nil {
		return "", err
	}
	flags := append([]string{
		"--seeds", sc.seeds(),
		"--id", args[0], "--zone", args[1], "--region", args[2],
		"--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0",
		"--platform-url", "http://" + platformLink.address(),
		"--load-path", "/standin/load", "--probe-path", "/standin/health",
	}, args[3:]...)
	n, err := sc.start(args[0], roleEntry, "eelgrassbeamd", flags)
	if err != nil {
		return "", err
	}
	n.platformLink = platformLink
	n.instance = eelgrassbeam.Instance{
		ID: args[0], Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
		Zone: eelgrassbeam.ZoneID(args[1]), Region: eelgrassbeam.RegionID(args[2]),
	}
	return "", sc.connect(args[0], n)
}

// seeds returns the peer addresses of the entries started so far, separated by commas.
func (sc *scenario) seeds() string {
	var addresses []string
	for _, n := range sc.nodes {
		if n.role == roleEntry {
			addresses = append(addresses, n.inboundLink.address())
		}
	}
	return strings.Join(addresses, ",")
}

// startFleet starts a platform, six backends and three entries in two zones, and waits until the entries are ready:
// fleet [ENTRY FLAGS].
func startFleet(sc *scenario, args []string) (string, error) {
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
		if _, err := commands[step[0]].call(sc, step[1:]); err != nil {
			return "", fmt.Errorf("%s: %w", strings.Join(step, " "), err)
		}
	}
	return "", nil
}

// start starts the named node's process and adds the node to the scenario.
func (sc *scenario) start(name string, r role, binary string, args []string) (*node, error) {
	if _, ok := sc.nodes[name]; ok {
		return nil, fmt.Errorf("node %q already exists", name)
	}
	n := &node{role: r, process: &process{
		binary: filepath.Join(binDir, binary), args: args, log: filepath.Join(sc.dir, name+".log"),
		env: append(os.Environ(), "GORACE="+sc.ts.Getenv("GORACE")),
	}}
	if err := n.process.disableGuards(); err != nil {
		return nil, err
	}
	if err := n.process.start(); err != nil {
		return nil, err
	}
	sc.nodes[name] = n
	return n, nil
}

// connect points the node's inbound link at its process and registers the link's address with the platform.
func (sc *scenario) connect(name string, n *node) error {
	addressName := "address"
	if n.role == roleEntry {
		addressName = "peer"
	}
	var err error
	if n.inboundLink == nil {
		n.inboundLink, err = sc.links.add(name, n.process.address(addressName))
	} else {
		err = n.inboundLink.setTarget(n.process.address(addressName))
	}
	if err != nil {
		return err
	}
	inboundAddr, err := netip.ParseAddrPort(n.inboundLink.address())
	if err != nil {
		return err
	}
	if n.role == roleBackend {
		n.instance.Address = inboundAddr
		sc.ts.Setenv(name+"_URL", n.url("address"))
		return sc.register(n)
	}
	n.instance.PeerAddress = inboundAddr
	caller, err := n.addrPort("caller")
	if err != nil {
		return err
	}
	operator, err := n.addrPort("operator")
	if err != nil {
		return err
	}
	n.instance.Address, n.instance.OperatorAddress = caller, operator
	sc.ts.Setenv(name+"_CALLER", caller.String())
	sc.ts.Setenv(name+"_OPERATOR", operator.String())
	sc.ts.Setenv(name+"_URL", n.url("caller"))
	return sc.register(n)
}

// forEachNode returns a command that runs the action on each named node.
func forEachNode(action func(*node) error) func(*scenario, []string) (string, error) {
	return func(sc *scenario, args []string) (string, error) {
		for _, name := range args {
			n, err := sc.node(name)
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

// forEachLink returns a command that runs the action on each link of the named nodes.
func forEachLink(action func(*link) error) func(*scenario, []string) (string, error) {
	return func(sc *scenario, args []string) (string, error) {
		for _, name := range args {
			found, err := sc.linksOf(name)
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

// waitReady waits until the entry's /readyz reports success.
func (n *node) waitReady() error {
	out, err := poll(readyTimeout, func() (string, bool, error) {
		out, err := doHTTP(http.MethodGet, n.url("operator")+"/readyz", nil)
		return string(out), err == nil, err
	})
	if err != nil {
		return fmt.Errorf("%w\n%s\n%s", err, out, n.process.logTail())
	}
	return nil
}

// kill kills the process and cuts its inbound link.
func (n *node) kill() error {
	n.terminated = true
	n.process.kill()
	return n.refuseConnections()
}

// refuseConnections cuts the inbound link, because connections to an instance without a process are refused.
func (n *node) refuseConnections() error {
	if n.inboundLink == nil {
		return nil
	}
	return n.inboundLink.cut()
}

// stop shuts the process down and cuts its inbound link.
func (n *node) stop() error {
	n.terminated = true
	return errors.Join(n.process.stop(), n.refuseConnections())
}

func signalNode(s syscall.Signal) func(*node) error {
	return func(n *node) error { return n.process.signal(s) }
}

// restart kills the node's process and starts it again behind the same links: restart NAME.
func restart(sc *scenario, args []string) (string, error) {
	n, err := sc.node(args[0])
	if err != nil {
		return "", err
	}
	if n.role == rolePlatform {
		return "", errors.New("the platform stand-in keeps its objects in memory and cannot be restarted")
	}
	if err := n.kill(); err != nil {
		return "", err
	}
	if err := n.process.start(); err != nil {
		return "", err
	}
	return "", sc.connect(args[0], n)
}
