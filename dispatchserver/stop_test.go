package dispatchserver

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam/monitor"
	"github.com/eelgrassbeam/eelgrassbeam/standin"
)

// TestPlannedStopOutlivesCachedLookups guards against closing the caller listener too early in a planned stop. The
// entry must keep listening for its term and the lookup TTL, since other entries name it in new lookups until they
// learn that it is leaving. Closing after the TTL alone lost one request in 20,000.
func TestPlannedStopOutlivesCachedLookups(t *testing.T) {
	is := is.New(t)
	platform := standin.NewPlatform(standin.PlatformConfig{Clock: clockwork.NewRealClock()})
	server := httptest.NewServer(platform)
	t.Cleanup(func() {
		platform.Close()
		server.Close()
	})
	address := freeAddress(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := New(Config{
		ID: "e1", Zone: "z1", Region: "r1", CallerAddress: address, PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
		PlatformURL: server.URL, PlatformTimeout: time.Second, StopTimeout: time.Minute, DecisionLog: DecisionLogOff,
		LoadPath: "/load", ProbePath: "/health", Clock: clockwork.NewRealClock(), Log: log,
	})
	is.NoErr(err)
	signals := make(chan os.Signal, 1)
	var group errgroup.Group
	group.Go(func() error { return s.Run(context.Background(), signals) })
	for !isListening(address) {
		<-time.After(10 * time.Millisecond)
	}
	signals <- syscall.SIGTERM
	signalled := time.Now()
	for isListening(address) {
		<-time.After(10 * time.Millisecond)
	}
	is.True(time.Since(signalled) >= monitor.DefaultTerm)
	is.NoErr(group.Wait())
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func isListening(address netip.AddrPort) bool {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
