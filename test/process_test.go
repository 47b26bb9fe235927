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

// process is a child process whose output is written to a log file.
type process struct {
	binary string
	args   []string
	env    []string
	log    string
	// readyText marks the log line that reports that the process accepts connections; "event=listening" if empty.
	readyText string

	cmd *exec.Cmd
	// exited is closed once the process has exited and err is set.
	exited chan struct{}
	err    error
	group  sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string
}

// start starts the process and waits until it logs its addresses.
func (p *process) start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Env = p.env
	reader, writer, err := os.Pipe()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, writer.Close(), reader.Close(), file.Close())
	}
	if err := writer.Close(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	listening := make(chan struct{})
	p.group.Go(func() { p.read(reader, file, listening) })
	select {
	case <-listening:
		return nil
	case <-p.exited:
		return fmt.Errorf("%s exited before it accepted connections: %w\n%s", p.binary, p.err, p.logTail())
	case <-time.After(listenTimeout):
		p.kill()
		return fmt.Errorf("%s did not accept connections within %s\n%s", p.binary, listenTimeout, p.logTail())
	}
}

// read copies the output to the log file, parses the addresses in the first line that holds readyText, and then closes
// listening. At the end of the output it waits for the process.
func (p *process) read(reader io.ReadCloser, file *os.File, listening chan<- struct{}) {
	lines, announced := bufio.NewReader(reader), false
	readyText := cmp.Or(p.readyText, "event=listening")
	for {
		line, err := lines.ReadString('\n')
		_, _ = file.WriteString(line)
		if !announced && strings.Contains(line, readyText) {
			announced = true
			p.parseAddresses(line)
			close(listening)
		}
		if err != nil {
			break
		}
	}
	p.err = errors.Join(p.cmd.Wait(), reader.Close(), file.Close())
	close(p.exited)
}

func (p *process) parseAddresses(line string) {
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

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	// Kill fails if the process has already exited.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stop sends SIGTERM and checks that the process exits with status 0 within stopTimeout.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit within %s of SIGTERM\n%s", p.binary, stopTimeout, p.logTail())
	}
	if p.err != nil {
		return fmt.Errorf("%w\n%s", p.err, p.logTail())
	}
	return nil
}

// checkLog returns an error if the log reports a data race or a panic.
func (p *process) checkLog() error {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err
	}
	for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
		if at := strings.Index(string(data), marker); at >= 0 {
			return fmt.Errorf("%s: %s", p.log, data[at:min(len(data), at+4000)])
		}
	}
	return nil
}

// logTail returns the last 4000 bytes of the log.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}
