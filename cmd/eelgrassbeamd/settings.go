package main

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam/dispatchserver"
)

const (
	minStopTimeout = time.Second
	maxStopTimeout = time.Hour
)

// settings holds the values of the flags before validation.
type settings struct {
	id, zone, region             string
	caller, peer, operator       string
	platformURL, seeds           string
	loadPath, probePath          string
	logLevel, decisionLog        string
	tlsCert, tlsKey, tlsCA       string
	stopTimeout, platformTimeout time.Duration
}

// registerFlags defines the flags. An environment variable with the prefix EELGRASSBEAMD can also set each of them.
func (s *settings) registerFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.id, "id", "", "name of this entry instance")
	flags.StringVar(&s.zone, "zone", "", "availability zone of this instance")
	flags.StringVar(&s.region, "region", "", "region of this instance")
	flags.StringVar(&s.caller, "caller-address", "127.0.0.1:8080", "ip:port that callers use; port 0 takes a free one")
	flags.StringVar(&s.peer, "peer-address", "127.0.0.1:8081", "ip:port that other entries use; port 0 takes a free one")
	flags.StringVar(&s.operator, "operator-address", "127.0.0.1:8082", "ip:port that operators use; port 0 takes a free one")
	flags.StringVar(&s.platformURL, "platform-url", "", "base URL of the platform's object API, as in http://ip:port")
	flags.DurationVar(&s.platformTimeout, "platform-timeout", 2*time.Second, "time limit of one call to the platform, 100ms to 1m")
	flags.StringVar(&s.seeds, "seeds", "", "peer addresses, ip:port separated by commas, that are asked while the platform is down")
	flags.StringVar(&s.loadPath, "load-path", "/load", "path of an upstream's load report")
	flags.StringVar(&s.probePath, "probe-path", "/health", "path of an upstream's health probe, asked where it gives no load report")
	flags.DurationVar(&s.stopTimeout, "stop-timeout", time.Minute, "time limit of a planned stop, 1s to 1h")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warning or error")
	flags.StringVar(&s.decisionLog, "decision-log", "all", "log lines for routing and placement decisions: all, sampled (1 in 100) or off")
	flags.StringVar(&s.tlsCert, "tls-cert", "", "file with this instance's certificate (PEM); with it peers and operators need one too")
	flags.StringVar(&s.tlsKey, "tls-key", "", "file with the certificate's key (PEM)")
	flags.StringVar(&s.tlsCA, "tls-ca", "", "file with the authority that signs peers' and operators' certificates (PEM)")
}

// validate returns the daemon's configuration. The error joins those of all invalid settings.
func (s *settings) validate() (dispatchserver.Config, error) {
	var v validator
	config := dispatchserver.Config{
		CallerAddress:   v.address("caller-address", s.caller),
		PeerAddress:     v.address("peer-address", s.peer),
		OperatorAddress: v.address("operator-address", s.operator),
		PlatformURL:     v.url("platform-url", s.platformURL),
		PlatformTimeout: v.duration("platform-timeout", s.platformTimeout, 100*time.Millisecond, time.Minute),
		StopTimeout:     v.duration("stop-timeout", s.stopTimeout, minStopTimeout, maxStopTimeout),
		Seeds:           v.addresses("seeds", s.seeds),
		LoadPath:        v.path("load-path", s.loadPath),
		ProbePath:       v.path("probe-path", s.probePath),
		DecisionLog:     v.decisionLog("decision-log", s.decisionLog),
		TLSCert:         s.tlsCert,
		TLSKey:          s.tlsKey,
		TLSCA:           s.tlsCA,
	}
	v.text("id", s.id, config.ID.UnmarshalText)
	v.text("zone", s.zone, config.Zone.UnmarshalText)
	v.text("region", s.region, config.Region.UnmarshalText)
	if _, err := logrus.ParseLevel(s.logLevel); err != nil {
		v.reject("log-level", s.logLevel, "debug, info, warning or error")
	}
	if n := countSet(s.tlsCert, s.tlsKey, s.tlsCA); n != 0 && n != 3 {
		v.reject("tls-cert, tls-key and tls-ca", strings.Join([]string{s.tlsCert, s.tlsKey, s.tlsCA}, " "), "all three or none")
	}
	return config, errors.Join(v.errs...)
}

func countSet(values ...string) int {
	n := 0
	for _, value := range values {
		if value != "" {
			n++
		}
	}
	return n
}

// validator collects the errors of invalid settings.
type validator struct{ errs []error }

func (v *validator) reject(name, value, accepted string) {
	v.errs = append(v.errs, fmt.Errorf("setting %s: %q: want %s", name, value, accepted))
}

func (v *validator) text(name, value string, decode func([]byte) error) {
	if err := decode([]byte(value)); err != nil {
		v.reject(name, value, "1 to 128 letters, digits and -._:/")
	}
}

func (v *validator) address(name, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		v.reject(name, value, "an IP address and a port, as in 10.0.0.1:8080")
	}
	return address
}

func (v *validator) addresses(name, value string) []netip.AddrPort {
	if value == "" {
		return nil
	}
	var addresses []netip.AddrPort
	for part := range strings.SplitSeq(value, ",") {
		addresses = append(addresses, v.address(name, strings.TrimSpace(part)))
	}
	return addresses
}

func (v *validator) url(name, value string) string {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		v.reject(name, value, "a URL, as in http://10.0.0.1:8000")
	}
	return strings.TrimSuffix(value, "/")
}

func (v *validator) path(name, value string) string {
	if !strings.HasPrefix(value, "/") {
		v.reject(name, value, "a path that begins with /")
	}
	return value
}

func (v *validator) duration(name string, value, low, high time.Duration) time.Duration {
	if value < low || value > high {
		v.reject(name, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
	return value
}

func (v *validator) decisionLog(name, value string) dispatchserver.DecisionLog {
	var log dispatchserver.DecisionLog
	if err := log.UnmarshalText([]byte(value)); err != nil {
		v.reject(name, value, "all, sampled or off")
	}
	return log
}
