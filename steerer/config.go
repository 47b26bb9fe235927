// Package steerer puts together the parts of one entry instance and runs them.
package steerer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// DecisionLog tells how many decisions are logged.
type DecisionLog string

// The amounts of logged decisions.
const (
	DecisionLogAll     DecisionLog = "all"
	DecisionLogSampled DecisionLog = "sampled"
	DecisionLogOff     DecisionLog = "off"
)

// UnmarshalText decodes and checks the amount.
func (l *DecisionLog) UnmarshalText(text []byte) error {
	switch value := DecisionLog(text); value {
	case DecisionLogAll, DecisionLogSampled, DecisionLogOff:
		*l = value
		return nil
	default:
		return fmt.Errorf("%w: decision log %q: want all, sampled or off", eelgrassbeam.ErrInvalid, text)
	}
}

// Config configures a Steerer; every field is checked by its caller.
type Config struct {
	ID     eelgrassbeam.EntryID
	Zone   eelgrassbeam.ZoneID
	Region eelgrassbeam.RegionID
	// Version is the program's version.
	Version string

	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// Seeds are peers that are asked while the platform is down.
	Seeds []netip.AddrPort

	PlatformURL     string
	PlatformTimeout time.Duration
	StopTimeout     time.Duration
	LoadPath        string
	ProbePath       string
	DecisionLog     DecisionLog
	// TLSCert, TLSKey and TLSCA are files, all empty for plain text.
	TLSCert, TLSKey, TLSCA string

	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}
