package test

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	listenTimeout = 20 * time.Second
	stopTimeout   = 30 * time.Second
)

var fieldPattern = regexp.MustCompile(`(\w+)="?([^" ]+)"?`)

// process is one real process whose log is kept in a file.
type process struct {
	binary string
	args   []string
	env    []string
	log    string
	// ready is in the line that says that the process serves; event=listening where empty.
	ready string

	cmd *exec.Cmd
	// exited is closed once the process has ended with err.
	exited chan struct{}
	err    error
	group  sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string
}

// start starts the process and waits until it reports its addresses.
func (p *process) start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Env = p.env
	output, input, err := os.Pipe()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	p.cmd.Stdout, p.cmd.Stderr = input, input
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, input.Close(), output.Close(), file.Close())
	}
	if err := input.Close(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	listening := make(chan struct{})
	p.group.Go(func() { p.read(output, file, listening) })
	select {
	case <-listening:
		return nil
	case <-p.exited:
		return fmt.Errorf("%s ended before it listened: %w\n%s", p.binary, p.err, p.tail())
	case <-time.After(listenTimeout):
		p.kill()
		return fmt.Errorf("%s does not listen within %s\n%s", p.binary, listenTimeout, p.tail())
	}
}

// read copies the log and notes the addresses of the line that reports them.
func (p *process) read(output io.ReadCloser, file *os.File, listening chan<- struct{}) {
	lines, heard := bufio.NewReader(output), false
	ready := cmp.Or(p.ready, "event=listening")
	for {
		line, err := lines.ReadString('\n')
		_, _ = file.WriteString(line)
		if !heard && strings.Contains(line, ready) {
			heard = true
			p.note(line)
			close(listening)
		}
		if err != nil {
			break
		}
	}
	p.err = errors.Join(p.cmd.Wait(), output.Close(), file.Close())
	close(p.exited)
}

func (p *process) note(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = make(map[string]string)
	for _, field := range fieldPattern.FindAllStringSubmatch(line, -1) {
		p.addresses[field[1]] = field[2]
	}
}

func (p *process) address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[name]
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	// The process may have ended already.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stop asks the process to end and checks that it does so with status 0.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s does not stop within %s\n%s", p.binary, stopTimeout, p.tail())
	}
	if p.err != nil {
		return fmt.Errorf("%w\n%s", p.err, p.tail())
	}
	return nil
}

// checkLog reports a data race or a panic.
func (p *process) checkLog() error {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err
	}
	for _, sign := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if at := strings.Index(string(data), sign); at >= 0 {
			return fmt.Errorf("%s: %s", p.log, data[at:min(len(data), at+4000)])
		}
	}
	return nil
}

// tail returns the end of the log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}
