package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// role selects the program that a node runs.
type role string

const (
	rolePlatform role = "platform"
	roleBackend  role = "backend"
	roleEntry    role = "entry"
)

// node is one process and the links to and from it.
type node struct {
	role     role
	process  *process
	instance eelgrassbeam.Instance
	// inboundLink leads to a backend's address or to an entry's peer address.
	inboundLink *link
	// platformLink leads from an entry to the platform.
	platformLink *link
	// journal is the file to which a backend appends a line for each request that it executes.
	journal string
	// terminated is set once the process was killed or stopped, and stays set after a restart.
	terminated bool
}

// scenario is the state of one script: its processes, links and load, and the recorded outcomes of its requests.
type scenario struct {
	ts                 *testscript.TestScript
	t                  testscript.T
	dir                string
	links              *links
	nodes              map[string]*node
	platform           *node
	records            records
	load               *load
	loadCount          int
	keepAliveTransport *http.Transport
}

func newScenario(env *testscript.Env) *scenario {
	return &scenario{
		t: env.T(), dir: env.WorkDir, links: newLinks(), nodes: make(map[string]*node),
		records: records{byID: make(map[string]record)}, keepAliveTransport: &http.Transport{},
	}
}

// close kills all processes and fails the script if a log reports a data race or a panic.
func (sc *scenario) close() {
	if sc.load != nil {
		sc.load.cancel()
		<-sc.load.done
	}
	var errs []error
	for _, n := range sc.nodes {
		n.process.kill()
		errs = append(errs, n.process.checkLog())
	}
	sc.keepAliveTransport.CloseIdleConnections()
	sc.links.close()
	sc.saveLogs()
	if err := errors.Join(errs...); err != nil {
		sc.t.Fatal(err)
	}
}

// saveLogs copies the logs to the directory in EELGRASSBEAM_TEST_LOGS, if that is set.
func (sc *scenario) saveLogs() {
	dir := os.Getenv("EELGRASSBEAM_TEST_LOGS")
	if dir == "" {
		return
	}
	for name, n := range sc.nodes {
		data, err := os.ReadFile(n.process.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(sc.dir)+"-"+name+".log"), data, 0o600)
		}
		if err != nil {
			sc.t.Log(err)
		}
	}
}

func (sc *scenario) node(name string) (*node, error) {
	n, ok := sc.nodes[name]
	if !ok {
		return nil, fmt.Errorf("unknown node %q", name)
	}
	return n, nil
}

// linksOf returns the links of the node. Those of the platform are the links from all entries to it.
func (sc *scenario) linksOf(name string) ([]*link, error) {
	n, err := sc.node(name)
	if err != nil {
		return nil, err
	}
	var found []*link
	for _, l := range []*link{n.inboundLink, n.platformLink} {
		if l != nil {
			found = append(found, l)
		}
	}
	if n.role != rolePlatform {
		return found, nil
	}
	for _, other := range sc.nodes {
		if other.platformLink != nil {
			found = append(found, other.platformLink)
		}
	}
	return found, nil
}

// doHTTP sends a request with a JSON body and returns the response body. It returns the body together with an error
// if the status is 300 or higher.
func doHTTP(method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(response.Body)
	err = errors.Join(err, response.Body.Close())
	if response.StatusCode >= http.StatusMultipleChoices {
		err = errors.Join(err, fmt.Errorf("%s %s: %s: %s", method, url, response.Status, data))
	}
	return data, err
}

// register adds the node to the platform's instance list.
func (sc *scenario) register(n *node) error {
	body, err := json.Marshal(n.instance)
	if err != nil {
		return err
	}
	_, err = doHTTP(http.MethodPost, sc.platform.url("address")+"/control/instances", body)
	return err
}

// url returns the base URL of the address that the node's process logged under the given name.
func (n *node) url(address string) string { return "http://" + n.process.address(address) }

// faultsURL returns the URL under which the faults of a stand-in are read and set.
func (n *node) faultsURL() (string, error) {
	switch n.role {
	case rolePlatform:
		return n.url("address") + "/control/faults", nil
	case roleBackend:
		return n.url("address") + "/standin/faults", nil
	default:
		return "", errors.New("an entry has no URL for faults")
	}
}

func (n *node) addrPort(address string) (netip.AddrPort, error) {
	return netip.ParseAddrPort(n.process.address(address))
}

// outcome is what a caller knows about the execution of a request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	// outcomeLost means that the caller received no complete response.
	outcomeLost outcome = "lost"
	// outcomeUnsent means that no connection was established.
	outcomeUnsent outcome = "unsent"
)

// record is the result of one request.
type record struct {
	idempotent bool
	outcome    outcome
	status     int
	reason     string
	// violation describes what is wrong with the response itself, or is empty.
	violation string
}

// records maps request IDs to results. It is safe for concurrent use.
type records struct {
	mu   sync.Mutex
	byID map[string]record
}

func (r *records) put(id string, rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = rec
}
