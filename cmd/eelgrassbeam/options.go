package main

import (
	"flag"
	"strings"
	"time"

	"github.com/eelgrassbeam/eelgrassbeam/securer"
)

const (
	defaultOperatorURL = "127.0.0.1:8082"
	defaultCallerURL   = "127.0.0.1:8080"
	defaultTimeout     = 10 * time.Second
	defaultLimit       = 50
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// options holds the values of all flags. Each command registers the flags that it reads.
type options struct {
	operatorURLs string
	output       string
	timeout      time.Duration
	tls          securer.Config

	author          string
	note            string
	reason          string
	expiresIn       time.Duration
	wait            bool
	dryRun          bool
	expectedVersion string
	id              string
	callerURL       string
	client          string
	kind            string
	request         string
	limit           int
	against         string
	storeURL        string
	regions         string
}

// registerGlobal registers the flags that all commands share.
func (o *options) registerGlobal(flags *flag.FlagSet) {
	flags.StringVar(&o.operatorURLs, "operator-url", defaultOperatorURL, "operators' addresses of one or more entries, separated by commas and tried in order")
	flags.StringVar(&o.output, "output", outputTable, "output format, table or json")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "longest time for the command, its waiting included")
	flags.StringVar(&o.tls.CertFile, "tls-cert", "", "certificate file (PEM)")
	flags.StringVar(&o.tls.KeyFile, "tls-key", "", "key file (PEM)")
	flags.StringVar(&o.tls.CAFile, "tls-ca", "", "file of the authorities that sign entries' certificates (PEM)")
}

// flagRegistrars maps the name of each command-specific flag to the function that registers it.
var flagRegistrars = map[string]func(*options, *flag.FlagSet, string){
	"author": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.author, name, o.author, "who makes the change")
	},
	"note": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.note, name, "", "why the change is made")
	},
	"reason": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.reason, name, "", "written reason, required")
	},
	"expires-in": func(o *options, f *flag.FlagSet, name string) {
		f.DurationVar(&o.expiresIn, name, 0, "time to expiry such as 2h; 0 for none")
	},
	"wait": func(o *options, f *flag.FlagSet, name string) {
		f.BoolVar(&o.wait, name, false, "wait until the version is in force on all live entries")
	},
	"dry-run": func(o *options, f *flag.FlagSet, name string) {
		f.BoolVar(&o.dryRun, name, false, "check without storing")
	},
	"expected-version": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.expectedVersion, name, "", "version that the change rests on; the document's own when empty")
	},
	"id": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.id, name, "", "id of the exception; the change's id when empty")
	},
	"caller-url": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.callerURL, name, defaultCallerURL, "callers' address of an entry")
	},
	"client": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.client, name, "", "client's IP address; the own one when empty")
	},
	"kind": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.kind, name, "", "kind of decision; all when empty")
	},
	"request": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.request, name, "", "request id; all when empty")
	},
	"limit": func(o *options, f *flag.FlagSet, name string) {
		f.IntVar(&o.limit, name, defaultLimit, "most decisions to show")
	},
	"against": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.against, name, "", "file of the configuration to compare with, or in-force for the one in the platform's store")
	},
	"store-url": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.storeURL, name, "", "address of the platform's store, such as http://192.0.2.1:8142")
	},
	"regions": func(o *options, f *flag.FlagSet, name string) {
		f.StringVar(&o.regions, name, "", "regions that exist, separated by commas; without them regions aren't checked")
	},
}

// validate rejects values of global flags that no command accepts.
func (o *options) validate() error {
	if o.output != outputTable && o.output != outputJSON {
		return usagef("--output %q: want table or json", o.output)
	}
	if o.timeout <= 0 {
		return usagef("--timeout %s: want more than 0", o.timeout)
	}
	return nil
}

// addresses returns the addresses for operators in the order in which to try them.
func (o *options) addresses() []string {
	var found []string
	for address := range strings.SplitSeq(o.operatorURLs, ",") {
		if address = strings.TrimSpace(address); address != "" {
			found = append(found, address)
		}
	}
	return found
}
