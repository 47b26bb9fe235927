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
	// unguardedFlag precedes the comma-separated names of the guards to disable in an entry: fleet -unguarded NAMES.
	// A guard is a safety check that can be disabled only in builds with the unguarded tag. The unguarded_* scenarios
	// show that the failure that a guard prevents occurs without it.
	unguardedFlag = "-unguarded"
	unguardedEnv  = "EELGRASSBEAM_UNGUARDED"
)

// buildUnguarded builds the daemon with guards that can be disabled, and returns the directory of the binary.
var buildUnguarded = sync.OnceValues(func() (string, error) {
	dir := filepath.Join(binDir, "unguarded")
	build := exec.Command("go", "build", "-race", "-p", "2", "-tags", "unguarded", "-o", dir+string(filepath.Separator), "../cmd/eelgrassbeamd")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build unguarded daemon: %w\n%s", err, out)
	}
	return dir, nil
})

// disableGuards selects the unguarded daemon if the arguments name guards to disable, and passes their names in its
// environment.
func (p *process) disableGuards() error {
	at := slices.Index(p.args, unguardedFlag)
	if at < 0 {
		return nil
	}
	if at+1 == len(p.args) {
		return errors.New("usage: -unguarded NAMES")
	}
	dir, err := buildUnguarded()
	if err != nil {
		return err
	}
	p.binary = filepath.Join(dir, filepath.Base(p.binary))
	p.env = append(p.env, unguardedEnv+"="+p.args[at+1])
	p.args = slices.Delete(slices.Clone(p.args), at, at+2)
	return nil
}
