// Command eelgrassbeam-survey measures the control traffic and resource use of fleets of real entry processes at
// increasing fleet sizes.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/eelgrassbeam/eelgrassbeam/surveyor"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassbeam-survey:", err)
		os.Exit(1)
	}
}

func run() error {
	daemon := flag.String("daemon", "bin/eelgrassbeamd", "path of the daemon binary")
	configurationFile := flag.String("configuration", "examples/consorcio.json", "file with the initial configuration")
	sizes := flag.String("sizes", "3,6,10,30,60", "fleet sizes in entries, separated by commas")
	changes := flag.Int("changes", 50, "number of configuration changes at each size")
	settle := flag.Duration("settle", 8*time.Second, "settling time before each measurement")
	measure := flag.Duration("measure", 15*time.Second, "duration of each measurement")
	flag.Parse()
	config := surveyor.Config{
		Daemon: *daemon, Changes: *changes, Settle: *settle, Measure: *measure,
		Clock: clockwork.NewRealClock(), Output: os.Stdout,
	}
	for text := range strings.SplitSeq(*sizes, ",") {
		// All entry processes of a fleet run on one machine, so the size is limited.
		size, err := strconv.Atoi(text)
		if err != nil || size < 1 || size > 200 {
			return fmt.Errorf("invalid fleet size %q: want 1 to 200", text)
		}
		config.Sizes = append(config.Sizes, size)
	}
	data, err := os.ReadFile(*configurationFile)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &config.Configuration); err != nil {
		return err
	}
	return surveyor.New(config).Run(context.Background())
}
