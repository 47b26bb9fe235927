// Package dispatchserver assembles and runs an entry that sends requests through the dispatcher of each site. An entry
// is also the dispatcher of the sites that it owns: it queues their requests and forwards them to their upstreams.
package dispatchserver

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassbeam/eelgrassbeam"
)

// DecisionLog selects how many routing and placement decisions are logged.
type DecisionLog string

// The values of DecisionLog. With DecisionLogSampled, one decision in sampleEvery is logged.
const (
	DecisionLogAll     DecisionLog = "all"
	DecisionLogSampled DecisionLog = "sampled"
	DecisionLogOff     DecisionLog = "off"
)

// UnmarshalText implements encoding.TextUnmarshaler. The error for an unknown value wraps eelgrassbeam.ErrInvalid.
func (l *DecisionLog) UnmarshalText(text []byte) error {
	switch value := DecisionLog(text); value {
	case DecisionLogAll, DecisionLogSampled, DecisionLogOff:
		*l = value
		return nil
	default:
		return fmt.Errorf("%w: decision log %q: want all, sampled or off", eelgrassbeam.ErrInvalid, text)
	}
}

// Config configures a Server. New does not validate the fields; its caller must.
type Config struct {
	ID     eelgrassbeam.EntryID
	Zone   eelgrassbeam.ZoneID
	Region eelgrassbeam.RegionID
	// Version is the program version that is logged at the start.
	Version string

	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// Seeds are the peers to contact for the fleet membership while the platform is unavailable.
	Seeds []netip.AddrPort

	PlatformURL     string
	PlatformTimeout time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// LoadPath is the path of an upstream's load report. ProbePath is the path of its health probe, which is used if
	// the upstream has no load report.
	LoadPath    string
	ProbePath   string
	DecisionLog DecisionLog
	// TLSCert, TLSKey and TLSCA are paths of PEM files. All are empty for plain text.
	TLSCert, TLSKey, TLSCA string

	Clock eelgrassbeam.Clock
	Log   logrus.FieldLogger
}
