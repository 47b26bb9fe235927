package test

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
)

const (
	// unguardedFlag precedes the name of a guard that an entry runs without: fleet -unguarded NAME.
	unguardedFlag     = "-unguarded"
	unguardedVariable = "EELGRASSBEAM_UNGUARDED"
)

// buildUnguarded builds the daemon whose guards can be turned off and returns its directory.
var buildUnguarded = sync.OnceValues(func() (string, error) {
	dir := filepath.Join(binaries, "unguarded")
	build := exec.Command("go", "build", "-race", "-p", "2", "-tags", "unguarded", "-o", dir+string(filepath.Separator), "../cmd/eelgrassbeamd")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the unguarded daemon: %w\n%s", err, out)
	}
	return dir, nil
})

// unguard makes the process run without the guard that its arguments name, if any.
func (p *process) unguard() error {
	at := slices.Index(p.args, unguardedFlag)
	if at < 0 {
		return nil
	}
	if at+1 == len(p.args) {
		return errors.New("usage: -unguarded NAME")
	}
	dir, err := buildUnguarded()
	if err != nil {
		return err
	}
	p.binary = filepath.Join(dir, filepath.Base(p.binary))
	p.env = append(p.env, unguardedVariable+"="+p.args[at+1])
	p.args = slices.Delete(slices.Clone(p.args), at, at+2)
	return nil
}
