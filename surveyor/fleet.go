package surveyor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

const (
	// awaitTimeout is the maximum wait for an entry to listen or to apply a configuration version.
	awaitTimeout   = 30 * time.Second
	pollInterval   = 50 * time.Millisecond
	zonesPerRegion = 2
	regionCount    = 3
)

// fleet is a running platform stand-in with entry processes.
type fleet struct {
	config   Config
	platform *standin.Platform
	server   *http.Server
	url      string
	entries  []*process
	group    *errgroup.Group
}

// process is one entry process and what its log has reported: its addresses, and when each configuration version came
// into force.
type process struct {
	id              string
	command         *exec.Cmd
	operatorAddress string

	mu        sync.Mutex
	changed   chan struct{}
	instance  eelgrassbeam.Instance
	appliedAt map[uint64]time.Time
}

func startFleet(ctx context.Context, config Config, entries int) (*fleet, error) {
	f := &fleet{config: config, platform: standin.NewPlatform(standin.PlatformConfig{Clock: config.Clock})}
	f.group, ctx = errgroup.WithContext(ctx)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.server, f.url = f.platform.Server(), "http://"+listener.Addr().String()
	f.group.Go(func() error {
		if err := f.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	for n := range entries {
		if err := f.start(ctx, n); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// start starts the n-th entry and adds it to the instance list. Entries are assigned to the zones in rotation.
func (f *fleet) start(ctx context.Context, n int) error {
	zone := n % (regionCount * zonesPerRegion)
	region := fmt.Sprintf("r%d", zone/zonesPerRegion)
	p := &process{id: fmt.Sprintf("e%03d", n), changed: make(chan struct{}), appliedAt: make(map[uint64]time.Time)}
	p.command = exec.CommandContext(ctx, f.config.Daemon,
		"-id", p.id, "-zone", fmt.Sprintf("%s-z%d", region, zone%zonesPerRegion), "-region", region, "-platform-url", f.url,
		"-caller-address", "127.0.0.1:0", "-peer-address", "127.0.0.1:0", "-operator-address", "127.0.0.1:0")
	pipe, err := p.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	f.entries = append(f.entries, p)
	f.group.Go(func() error { return p.readLog(pipe, f.config.Clock) })
	if err := p.await(ctx, f.config.Clock, func() bool { return p.instance.ID != "" }); err != nil {
		return fmt.Errorf("entry %s did not start listening: %w", p.id, err)
	}
	f.platform.PutInstance(p.instance)
	return nil
}

// stop kills the entry processes, waits for them and closes the platform stand-in.
func (f *fleet) stop() {
	for _, p := range f.entries {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range f.entries {
		_ = p.command.Wait()
	}
	_ = f.server.Close()
	_ = f.group.Wait()
}

// readLog reads the process's log until it ends. It always returns nil.
func (p *process) readLog(pipe io.Reader, clock eelgrassbeam.Clock) error {
	lines := bufio.NewScanner(pipe)
	for lines.Scan() {
		p.handleLine(parseFields(lines.Text()), clock.Now())
	}
	return nil
}

func (p *process) handleLine(fields map[string]string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch fields["event"] {
	case "listening":
		p.operatorAddress = fields["operator"]
		p.instance = eelgrassbeam.Instance{
			ID: p.id, Kind: eelgrassbeam.InstanceEntry, State: eelgrassbeam.InstanceLive,
			Zone: eelgrassbeam.ZoneID(fields["zone"]), Region: eelgrassbeam.RegionID(fields["region"]),
			Address: parseAddress(fields["caller"]), PeerAddress: parseAddress(fields["peer"]), OperatorAddress: parseAddress(fields["operator"]),
		}
	case "config_applied":
		version, err := strconv.ParseUint(fields["version"], 10, 64)
		if err == nil {
			p.appliedAt[version] = at
		}
	default:
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// await waits until the condition holds, for up to awaitTimeout. It calls the condition with the mutex held.
func (p *process) await(ctx context.Context, clock eelgrassbeam.Clock, condition func() bool) error {
	timeout := clock.After(awaitTimeout)
	for {
		p.mu.Lock()
		ok, changed := condition(), p.changed
		p.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return context.DeadlineExceeded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func parseAddress(text string) netip.AddrPort {
	parsed, _ := netip.ParseAddrPort(text)
	return parsed
}

// parseFields returns the key=value pairs of a log line, without quotes around values.
func parseFields(line string) map[string]string {
	fields := make(map[string]string)
	for part := range strings.FieldsSeq(line) {
		if key, value, ok := strings.Cut(part, "="); ok {
			fields[key] = strings.Trim(value, `"`)
		}
	}
	return fields
}
