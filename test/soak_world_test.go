package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

const (
	soakZones     = 3
	soakHeartbeat = 500 * time.Millisecond
	// soakDrain is what the users' sites allow until a leaving upstream gets no new work, soakGrace the time for a planned stop.
	soakDrain = 2500 * time.Millisecond
	soakGrace = 6 * time.Second
	// soakServeOn is how much longer a leaving backend serves.
	soakServeOn = 2 * time.Second
	// firstHost and firstPort are where the entries' addresses begin.
	firstHost = 10
	firstPort = 8140
)

// fleet are the real processes of one soak. Its maps don't change while the soak runs.
type fleet struct {
	dir      string
	hosts    string
	links    *links
	store    *process
	entries  []*soakEntry
	backends []*soakBackend

	// mu guards all below.
	mu sync.Mutex
	// begun is the latest version that was sent to the store; entries may have it in force before the store's answer is here.
	begun int
	// versions are the configurations that the store has taken, in order.
	versions []taken
}

// taken is a configuration's version with the time at which the store had taken it.
type taken struct {
	version int
	at      time.Time
}

// soakEntry is one entry with the links to it and from it to the store.
type soakEntry struct {
	name, zone string
	settings   string
	ports      map[string]string
	// toStore leads to the store, front to callers' sockets.
	toStore, front *link

	mu      sync.Mutex
	process *process
	starts  int
}

// soakBackend is one upstream's place; each start after a planned stop has another ID.
type soakBackend struct {
	name, service, zone string
	link                *link

	mu      sync.Mutex
	process *process
	starts  int
	journal []string
}

func zoneOf(i int) string { return fmt.Sprint("z", i%soakZones) }

// regionOf puts the first two zones in one region.
func regionOf(zone string) string {
	if zone == "z2" {
		return "r2"
	}
	return "r1"
}

// newFleet starts the processes; scale multiplies their number.
func newFleet(t *testing.T, scale int) *fleet {
	t.Helper()
	f := &fleet{dir: t.TempDir(), hosts: newHosts(), links: newLinks()}
	t.Cleanup(f.close)
	f.store = f.process("store", "eelgrassbeam-standin", "platform", "--lapse", (3 * soakHeartbeat).String())
	must(t, f.store.start())
	must(t, f.configure(1))
	for i := range 5 * scale {
		must(t, f.addEntry(i))
	}
	for i := range 9 * scale {
		service := "s"
		if i%9 >= 6 { // of each three in one zone, the last
			service = "t"
		}
		must(t, f.addBackend(i, service))
	}
	var starts []func() error
	for _, b := range f.backends {
		starts = append(starts, func() error { return f.startBackend(b) })
	}
	for _, e := range f.entries {
		starts = append(starts, e.start)
	}
	for _, start := range starts {
		must(t, start())
	}
	return f
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) process(name, binary string, args ...string) *process {
	return &process{
		binary: filepath.Join(binaries, binary), args: args, log: filepath.Join(f.dir, name+".log"),
		env: append(os.Environ(), "GORACE=halt_on_error=1"),
	}
}

// soakWorlds counts the fleets of this process.
var soakWorlds atomic.Uint32

// newHosts returns what begins the loopback addresses of one fleet. Nothing else uses them, so that a port stays free while its process is
// down.
func newHosts() string {
	return fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, soakWorlds.Add(1)%256)
}

func (f *fleet) addEntry(i int) error {
	e := &soakEntry{name: fmt.Sprint("e", i), zone: zoneOf(i), ports: make(map[string]string)}
	for at, name := range []string{"front", "ready", "control", "directory", "metrics"} {
		e.ports[name] = fmt.Sprintf("%s%d:%d", f.hosts, firstHost+i, firstPort+at)
	}
	var err error
	if e.toStore, err = f.addLink(e.name+"-store", f.store.address("address")); err != nil {
		return err
	}
	if e.front, err = f.addLink(e.name+"-front", e.ports["front"]); err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	var seeds []string
	for _, other := range f.entries[:min(len(f.entries), 3)] {
		seeds = append(seeds, other.ports["control"])
	}
	e.settings = filepath.Join(f.dir, e.name+".toml")
	if err := os.WriteFile(e.settings, e.settingsFile(seeds), 0o600); err != nil {
		return err
	}
	e.process = f.process(e.name, "eelgrassbeamd", "-platform-settings")
	if *soakUnguard != "" {
		e.process.args = append(e.process.args, unguardedFlag, *soakUnguard)
		if err := e.process.unguard(); err != nil {
			return err
		}
	}
	e.process.ready = "event=started"
	e.process.env = append(e.process.env, "EELGRASSBEAM_NODE_FILE="+e.settings)
	return nil
}

func (f *fleet) addLink(name, address string) (*link, error) {
	return f.links.addOn(f.hosts+"1", name, address)
}

func (e *soakEntry) settingsFile(seeds []string) []byte {
	list, _ := json.Marshal(seeds)                            // strings always encode
	host, metrics, _ := net.SplitHostPort(e.ports["metrics"]) // made by addEntry
	return fmt.Appendf(nil, `[self]
node_name = %q
ip = %q
zone = %q
region = %q
bootstrap = false
[self.limits]
cpu_share = 0.5
cores = 1
memory_mb = 300
[network]
internal_ports = [%s, %s]
seeds = %s
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[network.zones]
z0 = "r1"
z1 = "r1"
z2 = "r2"
[platform]
heartbeat = %q
[platform.platform]
address = %q
[terms.bounds]
drain = %q
grace = %q
ttl_max = "5s"
budget_ratio = 0.2
budget_window = "10s"
budget_slack = 60
`, e.name, host, e.zone, regionOf(e.zone), metrics, metrics, list, e.ports["front"], e.ports["ready"], e.ports["control"], e.ports["directory"],
		soakHeartbeat, e.toStore.address(), soakDrain, soakGrace)
}

func (f *fleet) addBackend(i int, service string) error {
	b := &soakBackend{name: fmt.Sprint(service, i), service: service, zone: zoneOf(i)}
	var err error
	b.link, err = f.addLink(b.name, "127.0.0.1:1")
	f.backends = append(f.backends, b)
	return err
}

// startBackend starts the backend in its place.
func (f *fleet) startBackend(b *soakBackend) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	id := fmt.Sprintf("%s-%d", b.name, b.starts)
	journal := filepath.Join(f.dir, id+".journal")
	b.journal = append(b.journal, journal)
	b.process = f.process(id, "eelgrassbeam-standin", "backend", "--id", id, "--service", b.service, "--zone", b.zone,
		"--slots", "4", "--queue-limit", "8", "--queue-wait", "500ms", "--journal", journal,
		"--register", "http://"+f.store.address("address"), "--advertise", b.link.address(),
		"--heartbeat", soakHeartbeat.String(), "--drain", (soakDrain + soakServeOn).String())
	if err := b.process.start(); err != nil {
		return err
	}
	return b.link.lead(b.process.address("address"))
}

func (e *soakEntry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	return e.process.start()
}

// incarnation counts the entry's starts.
func (e *soakEntry) incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

func (e *soakEntry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.kill()
}

func (e *soakEntry) signal(s syscall.Signal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.signal(s)
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.process.kill()
	}
	for _, b := range f.backends {
		if b.process != nil {
			b.process.kill()
		}
	}
	f.store.kill()
	f.links.close()
}

func (f *fleet) storeURL() string { return f.store.address("address") }

// configure puts a version in force: the routes of both services, and one route that only this version has.
func (f *fleet) configure(version int) error {
	routes := []map[string]any{
		{"path_prefix": "/s/", "kind": "idempotent", "service": "s", "priority": 1},
		{"path_prefix": "/p/", "kind": "non_idempotent", "service": "s", "priority": 0},
		{"path_prefix": "/t/", "kind": "idempotent", "service": "t", "priority": 2},
		{"path_prefix": versionPath(version), "kind": "idempotent", "service": "t", "priority": 1},
	}
	var resources []map[string]any
	for _, route := range routes {
		route["host"], route["timeout"], route["target_latency"] = soakHost, soakTimeout.String(), "300ms"
		route["max_attempts"], route["sticky_sessions"] = soakAttempts, true
		resources = append(resources, map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": route["path_prefix"]}, "spec": route})
	}
	for _, service := range []string{"s", "t"} {
		resources = append(resources, map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{
			"health_path": "/standin/health", "max_connections": 360, "cold_start": "0s", "cold_per_s": 50,
		}})
	}
	f.mu.Lock()
	f.begun = version
	f.mu.Unlock()
	err := f.put("config", "main", map[string]any{"version": version, "resources": resources})
	if err == nil {
		f.mu.Lock()
		f.versions = append(f.versions, taken{version: version, at: time.Now()})
		f.mu.Unlock()
	}
	return err
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// latest returns the version that the store took last.
func (f *fleet) latest() taken {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[len(f.versions)-1]
}

// isLatest tells whether no later version was sent to the store.
func (f *fleet) isLatest(version int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun == version
}

// put writes an object as the operator does, until the store has taken it.
func (f *fleet) put(kind, name string, spec any) error {
	value, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(standin.Object{Metadata: standin.Metadata{Name: name}, Spec: value})
	if err != nil {
		return err
	}
	url := "http://" + f.storeURL() + "/objects/" + kind
	_, err = poll(soakWait, func() (string, bool, error) {
		_, err := control(http.MethodPut, url+"/"+name, body)
		if err != nil {
			_, err = control(http.MethodPost, url, body)
		}
		return "", err == nil, err
	})
	return err
}

// remove deletes an object that nobody else writes.
func (f *fleet) remove(kind, name string) error {
	url := "http://" + f.storeURL() + "/objects/" + kind + "/" + name
	_, err := poll(soakWait, func() (string, bool, error) {
		data, err := control(http.MethodGet, url, nil)
		var object standin.Object
		if err == nil {
			err = json.Unmarshal(data, &object)
		}
		if err == nil {
			_, err = control(http.MethodDelete, fmt.Sprintf("%s?revision=%d", url, object.Metadata.Revision), nil)
		}
		return "", err == nil, err
	})
	return err
}

// storeFaults sets the store's faults.
func (f *fleet) storeFaults(faults standin.PlatformFaults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, err = control(http.MethodPut, "http://"+f.storeURL()+"/control/faults", body)
	return err
}

// runs returns each run of all backends so far.
func (f *fleet) runs() ([]soakRun, error) {
	var runs []soakRun
	for _, b := range f.backends {
		for _, journal := range b.journal {
			found, err := readSoakJournal(journal)
			if err != nil {
				return nil, err
			}
			runs = slices.Concat(runs, found)
		}
	}
	return runs, nil
}
