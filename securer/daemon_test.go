package securer_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassbeam/eelgrassbeam"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/securer"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
	"github.com/eelgrassbeam/eelgrassbeam/steerer"
)

// start runs an entry whose certificate files are given; without files its listeners take plain text.
func start(t *testing.T, files securer.Config) eelgrassbeam.Entry {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry, err := steerer.New(steerer.Config{
		ID: "e1", Zone: "z1", Region: "r1", CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
		PlatformURL: "http://127.0.0.1:9", LoadPath: "/load", ProbePath: "/health", DecisionLog: steerer.DecisionLogOff,
		TLSCert: files.CertFile, TLSKey: files.KeyFile, TLSCA: files.CAFile, Clock: clockwork.NewRealClock(), Log: log,
	})
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return entry.Run(ctx, nil) })
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(group.Wait())
	})
	return entry.Entry()
}

func getHealth(entry eelgrassbeam.Entry, settings *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: settings}
	defer transport.CloseIdleConnections()
	scheme := "https://"
	if settings == nil {
		scheme = "http://"
	}
	response, err := (&http.Client{Transport: transport}).Get(scheme + entry.OperatorAddress.String() + "/healthz")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return http.ErrNotSupported
	}
	return nil
}

func greet(ctx context.Context, entry eelgrassbeam.Entry, from *securer.Securer) error {
	pool := peer.NewPool(peer.PoolConfig{Credentials: from.ClientCredentials()})
	defer pool.Close()
	_, err := sender.NewPeers(pool).Greet(ctx, entry)
	return err
}

func TestDaemonListeners(t *testing.T) {
	ours, other := securer.NewAuthority(t, "ours"), securer.NewAuthority(t, "other")
	load := func(files securer.Config) *securer.Securer {
		s, err := securer.New(files)
		is.New(t).NoErr(err)
		return s
	}
	good, wrong := load(ours.Issue(t, "peer", ours)), load(other.Issue(t, "intruder", ours))
	var plain *securer.Securer
	t.Run("with certificates only peers and operators of the authority come in", func(t *testing.T) {
		is := is.New(t)
		entry := start(t, ours.Issue(t, "e1", ours))
		is.NoErr(greet(t.Context(), entry, good))
		is.NoErr(getHealth(entry, good.ClientTLS()))
		is.True(greet(t.Context(), entry, wrong) != nil)
		is.True(getHealth(entry, wrong.ClientTLS()) != nil)
		is.True(greet(t.Context(), entry, plain) != nil)
		is.True(getHealth(entry, nil) != nil)
	})
	t.Run("without certificates anyone does", func(t *testing.T) {
		is := is.New(t)
		entry := start(t, securer.Config{})
		is.NoErr(greet(t.Context(), entry, plain))
		is.NoErr(getHealth(entry, nil))
	})
}
