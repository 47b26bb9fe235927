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
	"github.com/eelgrassbeam/eelgrassbeam/dispatchserver"
	"github.com/eelgrassbeam/eelgrassbeam/peer"
	"github.com/eelgrassbeam/eelgrassbeam/securer"
	"github.com/eelgrassbeam/eelgrassbeam/sender"
)

// startEntry runs an entry with the given certificate files. Without files, its listeners use plain text.
func startEntry(t *testing.T, files securer.Config) eelgrassbeam.Entry {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry, err := dispatchserver.New(dispatchserver.Config{
		ID: "e1", Zone: "z1", Region: "r1", CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
		PlatformURL: "http://127.0.0.1:9", LoadPath: "/load", ProbePath: "/health", DecisionLog: dispatchserver.DecisionLogOff,
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

func getHealth(entry eelgrassbeam.Entry, tlsConfig *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: tlsConfig}
	defer transport.CloseIdleConnections()
	scheme := "https://"
	if tlsConfig == nil {
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

func callPeer(ctx context.Context, entry eelgrassbeam.Entry, from *securer.Securer) error {
	pool := peer.NewPool(peer.PoolConfig{Credentials: from.ClientCredentials()})
	defer pool.Close()
	_, err := sender.NewPeerClient(pool).Incarnation(ctx, entry)
	return err
}

func TestEntryListeners(t *testing.T) {
	trustedCA, otherCA := securer.NewCA(t, "ours"), securer.NewCA(t, "other")
	newSecurer := func(files securer.Config) *securer.Securer {
		s, err := securer.New(files)
		is.New(t).NoErr(err)
		return s
	}
	trusted, untrusted := newSecurer(trustedCA.Issue(t, "peer", trustedCA)), newSecurer(otherCA.Issue(t, "intruder", trustedCA))
	var plaintext *securer.Securer
	t.Run("with certificates, only clients with a certificate of the trusted CA are accepted", func(t *testing.T) {
		is := is.New(t)
		entry := startEntry(t, trustedCA.Issue(t, "e1", trustedCA))
		is.NoErr(callPeer(t.Context(), entry, trusted))
		is.NoErr(getHealth(entry, trusted.ClientTLS()))
		is.True(callPeer(t.Context(), entry, untrusted) != nil)
		is.True(getHealth(entry, untrusted.ClientTLS()) != nil)
		is.True(callPeer(t.Context(), entry, plaintext) != nil)
		is.True(getHealth(entry, nil) != nil)
	})
	t.Run("without certificates, plain-text clients are accepted", func(t *testing.T) {
		is := is.New(t)
		entry := startEntry(t, securer.Config{})
		is.NoErr(callPeer(t.Context(), entry, plaintext))
		is.NoErr(getHealth(entry, nil))
	})
}
