package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// soakTeam is the team of the soak's callers, soakCredential the one that all versions have.
const (
	soakTeam       = "soakers"
	soakCredential = "credential-of-all-versions"
	// soakQuota is above what the callers send, so that the quota refuses nothing.
	soakQuota = 2000
)

// versionCredential is a credential that only this version of the configuration has.
func versionCredential(version int) string { return fmt.Sprintf("credential-%d", version) }

// versionPathStart starts the paths of the routes that versions of the configuration add.
const versionPathStart = "/v"

// soakOperator writes the configuration and the evacuations to the store, and writes again what a restored store has
// lost. It is safe for concurrent use.
type soakOperator struct {
	// store is the URL of the store.
	store string

	// writing is held from the start of a write until its acceptance is recorded, so that rewrite misses none.
	writing sync.Mutex
	// written holds the accepted objects by path; the value of a removed one is nil.
	written map[string][]byte

	// mu guards the fields below.
	mu sync.Mutex
	// versions are the configuration versions that the store has accepted, in order.
	versions    []storedVersion
	evacuations []soakEvacuation
}

// storedVersion is a configuration version and the time at which the store's acceptance was received.
type storedVersion struct {
	version int
	at      time.Time
}

// soakEvacuation is one evacuation of a zone.
type soakEvacuation struct {
	zone string
	// at is the time at which the store's acceptance was received, end that at which the evacuation was first taken
	// back, zero before.
	at, end time.Time
}

func versionPath(version int) string { return fmt.Sprintf("%s%d/", versionPathStart, version) }

func isVersionPath(path string) bool { return strings.HasPrefix(path, versionPathStart) }

// configure stores a configuration version with the routes of both services, and one route for this and each earlier
// version. An entry that doesn't have such a route has neither that version nor a later one in force.
func (o *soakOperator) configure(version int) error {
	routes := []map[string]any{
		{"path_prefix": "/s/", "kind": "idempotent", "service": "s", "priority": 1},
		{"path_prefix": "/p/", "kind": "non_idempotent", "service": "s", "priority": 0},
		{"path_prefix": "/t/", "kind": "idempotent", "service": "t", "priority": 2},
		{"path_prefix": versionPath(version), "kind": "idempotent", "service": "t", "priority": 1},
	}
	for _, earlier := range o.storedVersions() {
		routes = append(routes, map[string]any{"path_prefix": versionPath(earlier.version), "kind": "idempotent", "service": "t", "priority": 1})
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
	resources = append(resources, map[string]any{"resource_kind": "tenants", "metadata": map[string]any{"name": soakTeam}, "spec": map[string]any{
		"api_keys": []string{soakCredential, versionCredential(version)}, "rate_per_s": soakQuota, "burst": soakQuota,
	}})
	resources = append(resources, map[string]any{"resource_kind": "tenants", "metadata": map[string]any{"name": floodTeam}, "spec": map[string]any{
		"api_keys": []string{floodCredential}, "rate_per_s": floodQuota, "burst": floodQuota,
	}})
	value, err := json.Marshal(map[string]any{"version": version, "resources": resources})
	if err != nil {
		return err
	}
	return o.write("config/main", value, func(at time.Time) { o.versions = append(o.versions, storedVersion{version: version, at: at}) })
}

// storedVersions returns the versions that the store has accepted.
func (o *soakOperator) storedVersions() []storedVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions
}

// latestTwo returns the latest version and the one before it, which has version 0 if there is none.
func (o *soakOperator) latestTwo() (latest, before storedVersion) {
	stored := o.storedVersions()
	if len(stored) > 1 {
		before = stored[len(stored)-2]
	}
	return stored[len(stored)-1], before
}

// latest returns the latest version that the store has accepted.
func (o *soakOperator) latest() storedVersion {
	stored := o.storedVersions()
	return stored[len(stored)-1]
}

func (o *soakOperator) evacuate(zone string) error {
	return o.write("evacuations/"+zone, []byte("{}"), func(at time.Time) {
		o.evacuations = append(o.evacuations, soakEvacuation{zone: zone, at: at})
	})
}

// takeBack ends the evacuation of the zone that began last. Evacuations don't overlap.
func (o *soakOperator) takeBack(zone string) error {
	o.mu.Lock()
	o.evacuations[len(o.evacuations)-1].end = time.Now()
	o.mu.Unlock()
	return o.write("evacuations/"+zone, nil, func(time.Time) {})
}

// write stores the object at the path, or removes it if the value is nil, and then calls record under mu.
func (o *soakOperator) write(path string, value []byte, record func(at time.Time)) error {
	o.writing.Lock()
	defer o.writing.Unlock()
	if err := o.send(path, value); err != nil {
		return err
	}
	if o.written == nil {
		o.written = make(map[string][]byte)
	}
	o.written[path] = value
	o.mu.Lock()
	defer o.mu.Unlock()
	record(time.Now())
	return nil
}

// rewrite writes again all that the store has accepted.
func (o *soakOperator) rewrite() error {
	o.writing.Lock()
	defer o.writing.Unlock()
	var errs []error
	for path, value := range o.written {
		errs = append(errs, o.send(path, value))
	}
	return errors.Join(errs...)
}

// send makes the object at the path have the value, or not exist if that is nil. It retries until the store shows the
// result, for at most soakStoreTimeout.
func (o *soakOperator) send(path string, value []byte) error {
	kind, name, _ := strings.Cut(path, "/")
	url := o.store + "/objects/" + kind
	body, err := json.Marshal(standin.Object{Metadata: standin.Metadata{Name: name}, Spec: value})
	if err != nil {
		return err
	}
	client := newClient(1, time.Second)
	defer client.CloseIdleConnections()
	_, err = poll(soakStoreTimeout, func() (string, bool, error) {
		response, err := callRequest{base: url, method: http.MethodGet, path: "/" + name}.send(client)
		missing := err == nil && response.status == http.StatusNotFound
		var object standin.Object
		if err == nil && !missing {
			err = json.Unmarshal(response.body, &object)
		}
		switch {
		case err != nil:
		case missing && value != nil:
			_, err = doHTTP(http.MethodPost, url, body)
		case missing || value != nil && bytes.Equal(object.Spec, value):
			return "", true, nil
		case value != nil:
			_, err = doHTTP(http.MethodPut, url+"/"+name, body)
		default:
			_, err = doHTTP(http.MethodDelete, fmt.Sprintf("%s/%s?revision=%d", url, name, object.Metadata.Revision), nil)
		}
		return "", err == nil, err
	})
	return err
}

// Guards against an operator whose lost changes aren't written again, which excuses entries that lack them.
func TestOperatorWritesAgain(t *testing.T) {
	is := is.New(t)
	store := standin.NewPlatform(standin.PlatformConfig{Clock: clockwork.NewRealClock()})
	server := httptest.NewServer(store)
	defer server.Close()
	defer store.Close()
	o := soakOperator{store: server.URL}
	is.NoErr(errors.Join(o.configure(1), o.evacuate("z0")))
	store.Copy()
	is.NoErr(errors.Join(o.configure(4), o.takeBack("z0"), o.evacuate("z1")))
	config, evacuations := listOf(is, server.URL, "config"), listOf(is, server.URL, "evacuations")
	store.Restore()
	is.True(listOf(is, server.URL, "config") != config)
	is.True(listOf(is, server.URL, "evacuations") != evacuations)
	is.NoErr(o.rewrite())
	is.Equal(listOf(is, server.URL, "config"), config)
	is.Equal(listOf(is, server.URL, "evacuations"), evacuations)
}

// listOf returns the names and contents of the kind's objects.
func listOf(is *is.I, store, kind string) string {
	is.Helper()
	data, err := doHTTP(http.MethodGet, store+"/objects/"+kind, nil)
	is.NoErr(err)
	var page standin.Page
	is.NoErr(json.Unmarshal(data, &page))
	var list strings.Builder
	for _, object := range page.Items {
		list.WriteString(object.Metadata.Name + " " + string(object.Spec) + "\n")
	}
	return list.String()
}
