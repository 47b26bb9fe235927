package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// slow adds latency to a node's links: slow NAME DURATION.
func slow(sc *scenario, args []string) (string, error) {
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return "", err
	}
	return forEachLink(func(l *link) error { return l.slow(delay.Milliseconds()) })(sc, args[:1])
}

// fault sets a stand-in's injected faults, or prints them: fault NAME [JSON].
func fault(sc *scenario, args []string) (string, error) {
	n, err := sc.node(args[0])
	if err != nil {
		return "", err
	}
	url, err := n.faultsURL()
	if err != nil {
		return "", err
	}
	if len(args) == 1 {
		out, err := doHTTP(http.MethodGet, url, nil)
		return string(out), err
	}
	_, err = doHTTP(http.MethodPut, url, []byte(args[1]))
	return "", err
}

// setState changes an instance's state in the platform's instance list: state NAME STATE.
func setState(sc *scenario, args []string) (string, error) {
	url := sc.platform.url("address") + "/control/instances/" + args[0] + "/state"
	_, err := doHTTP(http.MethodPut, url, fmt.Appendf(nil, `{"state":%q}`, args[1]))
	return "", err
}

// putConfiguration stores the file as the fleet's configuration without validation: config FILE.
func putConfiguration(sc *scenario, args []string) (string, error) {
	value, err := os.ReadFile(sc.ts.MkAbs(args[0]))
	if err != nil {
		return "", err
	}
	url := sc.platform.url("address") + "/objects/configuration"
	spec, err := encodeSpec(value)
	if err != nil {
		return "", err
	}
	body, err := json.Marshal(standin.Object{Metadata: standin.Metadata{Name: "fleet"}, Spec: spec})
	if err != nil {
		return "", err
	}
	out, err := doHTTP(http.MethodPost, url, body)
	if err == nil {
		return string(out), nil
	}
	var current standin.Object
	if err := errors.Join(err, json.Unmarshal(out, &current)); current.Metadata.Revision == 0 {
		return "", err
	}
	current.Spec = spec
	if body, err = json.Marshal(current); err != nil {
		return "", err
	}
	out, err = doHTTP(http.MethodPut, url+"/fleet", body)
	return string(out), err
}

// encodeSpec returns the value as the spec of an object. Bytes that are not JSON become a base64 string.
func encodeSpec(value []byte) (json.RawMessage, error) {
	if json.Valid(value) {
		return value, nil
	}
	return json.Marshal(value)
}

// logs prints the lines of a node's log that match the expression: logs NAME REGEXP.
func logs(sc *scenario, args []string) (string, error) {
	n, err := sc.node(args[0])
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

// exits runs a program, checks its exit status and prints its output: exits STATUS PROGRAM [ARGS].
func exits(_ *scenario, args []string) (string, error) {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(binDir, args[1]), args[2:]...)
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
