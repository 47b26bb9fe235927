package test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/platform"
)

const (
	// endlessMemoryMB is the memory of the smallest instances, endlessPeakRatio the share of it that may be used.
	endlessMemoryMB  = 184
	endlessPeakRatio = 0.75
	endlessRequests  = 200
	// endlessRecovery is the time after the fault within which every request is answered again.
	endlessRecovery = 2 * time.Second
	// endlessLatency is the target latency of the other service's route.
	endlessLatency = 300 * time.Millisecond
)

// TestEndlessResponses guards against an entry that runs out of memory, or that stops serving other services, while the
// backends of one service send bytes without end in many responses at once.
func TestEndlessResponses(t *testing.T) {
	for _, part := range []string{"header", "fields", "chunks", "body", "trickle"} {
		t.Run(part, func(t *testing.T) { testEndless(t, part) })
	}
}

func testEndless(t *testing.T, part string) {
	t.Helper()
	f := newEndlessFleet(t)
	must(t, f.awaitAnswer("/s/"))
	must(t, f.awaitAnswer("/t/"))
	usual := f.latencies(t, 50)
	f.setEndless(t, part)
	var failing sync.WaitGroup
	var completed atomic.Int32
	for i := range endlessRequests {
		failing.Go(func() {
			if status, err := f.get("/t/", fmt.Sprint("endless", i)); err == nil && status == http.StatusOK {
				completed.Add(1)
			}
		})
	}
	during := f.latencies(t, 50)
	failing.Wait()
	if completed.Load() > 0 {
		t.Errorf("%d endless responses counted as complete", completed.Load())
	}
	if during > endlessLatency {
		t.Errorf("median latency of the other service %s, before the fault %s, want at most %s", during, usual, endlessLatency)
	}
	peak := peakMemoryMB(t, f.entries[0].process.cmd.Process.Pid)
	t.Logf("peak %d MB; median latency of the other service %s, %.1f times the usual %s", peak, during, float64(during)/float64(usual), usual)
	if float64(peak) > endlessPeakRatio*endlessMemoryMB {
		t.Errorf("peak memory %d MB, want at most %.0f MB", peak, endlessPeakRatio*endlessMemoryMB)
	}
	f.setEndless(t, "")
	<-time.After(endlessRecovery)
	for i := range 20 {
		if status, err := f.get("/t/", fmt.Sprint("after", i)); err != nil || status != http.StatusOK {
			t.Fatalf("after the fault: status %d, error %v", status, err)
		}
	}
}

// newEndlessFleet starts a store, one small entry built without the race detector, whose memory would count, and two
// backends of each service.
func newEndlessFleet(t *testing.T) *soakFleet {
	t.Helper()
	f := newStoreFleet(t)
	must(t, f.addEntry(0))
	entry := f.entries[0]
	settings := bytes.Replace(entry.settingsTOML([]string{entry.addresses["control"]}), []byte("memory_mb = 300"), fmt.Appendf(nil, "memory_mb = %d", endlessMemoryMB), 1)
	must(t, os.WriteFile(entry.settingsPath, settings, 0o600))
	directory, err := buildPlain()
	must(t, err)
	entry.process.binary = filepath.Join(directory, "eelgrassbeamd")
	for i, service := range []string{"s", "s", "t", "t"} {
		must(t, f.addBackend(i, service))
		must(t, f.startBackendWith(f.backends[i], "--slots", strconv.Itoa(endlessRequests), "--queue-limit", "8"))
	}
	must(t, entry.start())
	return f
}

// buildPlain builds the daemon without the race detector and returns the directory of the binary.
var buildPlain = sync.OnceValues(func() (string, error) {
	directory := filepath.Join(binDir, "plain")
	build := exec.Command("go", "build", "-p", "2", "-o", directory+string(filepath.Separator), "../cmd/eelgrassbeamd")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build daemon: %w\n%s", err, out)
	}
	return directory, nil
})

func (f *soakFleet) setEndless(t *testing.T, part string) {
	t.Helper()
	for _, b := range f.backends {
		if b.service == "t" {
			_, err := doHTTP(http.MethodPut, "http://"+b.process.address("address")+"/standin/faults", fmt.Appendf(nil, `{"endless":%q}`, part))
			must(t, err)
		}
	}
}

// get sends a request to the fleet's first entry, on a connection of its own, and returns the status.
func (f *soakFleet) get(path, id string) (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+f.entries[0].addresses["front"]+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = soakHost, true
	request.Header.Set("X-Request-Id", id)
	request.Header.Set(platform.HeaderCredential, soakCredential)
	response, err := (&http.Client{Timeout: soakClientTimeout}).Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

func (f *soakFleet) awaitAnswer(path string) error {
	_, err := poll(listenTimeout, func() (string, bool, error) {
		status, err := f.get(path, "await")
		return "", err == nil && status == http.StatusOK, err
	})
	return err
}

// latencies sends requests of the service without faults one after the other and returns the median latency. Each must be
// answered.
func (f *soakFleet) latencies(t *testing.T, count int) time.Duration {
	t.Helper()
	took := make([]time.Duration, count)
	for i := range took {
		began := time.Now()
		if status, err := f.get("/s/", fmt.Sprint("other", began.UnixNano())); err != nil || status != http.StatusOK {
			t.Fatalf("request of the other service: status %d, error %v", status, err)
		}
		took[i] = time.Since(began)
	}
	slices.Sort(took)
	return took[count/2]
}

// peakMemoryMB returns the peak resident memory of a process.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	must(t, err)
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) >= 2 && string(fields[0]) == "VmHWM:" {
			kilobytes, err := strconv.Atoi(string(fields[1]))
			must(t, err)
			return kilobytes >> 10
		}
	}
	t.Fatal("no VmHWM in the process status")
	return 0
}
