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

// role is what a node runs as.
type role string

const (
	rolePlatform role = "platform"
	roleBackend  role = "backend"
	roleEntry    role = "entry"
)

// node is one process with the links that lead to and from it.
type node struct {
	role    role
	process *process
	row     eelgrassbeam.Instance
	// front leads to the node: to a backend's address or an entry's peer address.
	front *link
	// platform leads from an entry to the platform.
	platform *link
	// journal is the file of a backend's runs.
	journal string
	killed  bool
}

// world is what one script has started and seen.
type world struct {
	ts       *testscript.TestScript
	t        testscript.T
	dir      string
	links    *links
	nodes    map[string]*node
	platform *node
	records  records
	load     *load
	loads    int
	kept     *http.Transport
}

func newWorld(env *testscript.Env) *world {
	return &world{
		t: env.T(), dir: env.WorkDir, links: newLinks(), nodes: make(map[string]*node),
		records: records{byID: make(map[string]record)}, kept: &http.Transport{},
	}
}

// close ends all processes and fails the script if one of them had a data race.
func (w *world) close() {
	if w.load != nil {
		w.load.cancel()
		<-w.load.done
	}
	var faults []error
	for _, n := range w.nodes {
		n.process.kill()
		faults = append(faults, n.process.checkLog())
	}
	w.kept.CloseIdleConnections()
	w.links.close()
	w.keepLogs()
	if err := errors.Join(faults...); err != nil {
		w.t.Fatal(err)
	}
}

// keepLogs copies the logs to the directory that the environment names, if any.
func (w *world) keepLogs() {
	dir := os.Getenv("EELGRASSBEAM_TEST_LOGS")
	if dir == "" {
		return
	}
	for name, n := range w.nodes {
		data, err := os.ReadFile(n.process.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(w.dir)+"-"+name+".log"), data, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
}

func (w *world) node(name string) (*node, error) {
	n, ok := w.nodes[name]
	if !ok {
		return nil, fmt.Errorf("no node %q", name)
	}
	return n, nil
}

// linksOf returns the links of the node; the platform's are those of all entries to it.
func (w *world) linksOf(name string) ([]*link, error) {
	n, err := w.node(name)
	if err != nil {
		return nil, err
	}
	var found []*link
	for _, l := range []*link{n.front, n.platform} {
		if l != nil {
			found = append(found, l)
		}
	}
	if n.role != rolePlatform {
		return found, nil
	}
	for _, other := range w.nodes {
		if other.platform != nil {
			found = append(found, other.platform)
		}
	}
	return found, nil
}

// control sends JSON to a stand-in's control and returns the answer's body.
func control(method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: 10 * time.Second}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(answer.Body)
	err = errors.Join(err, answer.Body.Close())
	if answer.StatusCode >= http.StatusMultipleChoices {
		err = errors.Join(err, fmt.Errorf("%s %s: %s: %s", method, url, answer.Status, data))
	}
	return data, err
}

// register puts the node's row on the platform's list.
func (w *world) register(n *node) error {
	body, err := json.Marshal(n.row)
	if err != nil {
		return err
	}
	_, err = control(http.MethodPost, w.platform.url("address")+"/control/instances", body)
	return err
}

// url returns the URL of the named address of the node's process.
func (n *node) url(address string) string { return "http://" + n.process.address(address) }

// controlURL returns the URL of a stand-in's faults.
func (n *node) controlURL() (string, error) {
	switch n.role {
	case rolePlatform:
		return n.url("address") + "/control/faults", nil
	case roleBackend:
		return n.url("address") + "/standin/faults", nil
	default:
		return "", errors.New("an entry takes no faults")
	}
}

func (n *node) addrPort(address string) (netip.AddrPort, error) {
	return netip.ParseAddrPort(n.process.address(address))
}

// outcome is what a caller knows about a request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	// outcomeLost says that the caller got no whole answer.
	outcomeLost outcome = "lost"
	// outcomeUnsent says that no connection was made.
	outcomeUnsent outcome = "unsent"
)

// record is what became of one request.
type record struct {
	idempotent bool
	outcome    outcome
	status     int
	reason     string
	// fault is set if the answer breaks a promise by itself.
	fault string
}

// records are the outcomes by request id.
type records struct {
	mu   sync.Mutex
	byID map[string]record
}

func (r *records) put(id string, rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = rec
}
