package securer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"golang.org/x/sync/errgroup"
)

func newSecurer(t *testing.T, config Config) *Securer {
	t.Helper()
	return must(New(config))(t)
}

func serveHTTPS(t *testing.T, settings *tls.Config) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.TLS = settings
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func get(server *httptest.Server, settings *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: settings}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get(server.URL)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestHTTP(t *testing.T) {
	ours, other := NewAuthority(t, "ours"), NewAuthority(t, "other")
	server := serveHTTPS(t, newSecurer(t, ours.Issue(t, "server", ours)).ServerTLS())

	t.Run("accepts a certificate of the same authority", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(get(server, newSecurer(t, ours.Issue(t, "client", ours)).ClientTLS()))
	})
	t.Run("refuses a client certificate of another authority", func(t *testing.T) {
		is := is.New(t)
		is.True(get(server, newSecurer(t, other.Issue(t, "client", ours)).ClientTLS()) != nil)
	})
	t.Run("refuses a client without a certificate", func(t *testing.T) {
		is := is.New(t)
		settings := newSecurer(t, ours.Issue(t, "client", ours)).ClientTLS()
		settings.Certificates = nil
		is.True(get(server, settings) != nil)
	})
	t.Run("client refuses a server of another authority", func(t *testing.T) {
		is := is.New(t)
		is.True(get(server, newSecurer(t, ours.Issue(t, "client", other)).ClientTLS()) != nil)
	})
	t.Run("refuses TLS 1.2", func(t *testing.T) {
		is := is.New(t)
		settings := newSecurer(t, ours.Issue(t, "client", ours)).ClientTLS()
		settings.MinVersion, settings.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
		is.True(get(server, settings) != nil)
	})
}

func TestGRPC(t *testing.T) {
	ours, other := NewAuthority(t, "ours"), NewAuthority(t, "other")
	listener := must(net.Listen("tcp", "127.0.0.1:0"))(t)
	server := grpc.NewServer(grpc.Creds(newSecurer(t, ours.Issue(t, "server", ours)).ServerCredentials()))
	grpc_health_v1.RegisterHealthServer(server, health.NewServer())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() { server.Stop(); _ = group.Wait() })

	check := func(t *testing.T, s *Securer) error {
		conn := must(grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(s.ClientCredentials())))(t)
		defer func() { _ = conn.Close() }()
		_, err := grpc_health_v1.NewHealthClient(conn).Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
		return err
	}
	t.Run("accepts a certificate of the same authority", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(check(t, newSecurer(t, ours.Issue(t, "client", ours))))
	})
	t.Run("refuses a certificate of another authority", func(t *testing.T) {
		is := is.New(t)
		is.True(check(t, newSecurer(t, other.Issue(t, "client", ours))) != nil)
	})
}

func TestNew(t *testing.T) {
	ours := NewAuthority(t, "ours")
	t.Run("wants all files together", func(t *testing.T) {
		is := is.New(t)
		_, err := New(Config{CertFile: "a"})
		is.True(errors.Is(err, ErrIncomplete))
	})
	t.Run("refuses a CA file without a certificate", func(t *testing.T) {
		is := is.New(t)
		config := ours.Issue(t, "client", ours)
		config.CAFile = config.KeyFile
		_, err := New(config)
		is.True(errors.Is(err, ErrMaterial))
	})
	t.Run("gives plain text for a nil Securer", func(t *testing.T) {
		is := is.New(t)
		var none *Securer
		is.True(none.ServerTLS() == nil && none.ClientTLS() == nil)
		is.True(none.ServerCredentials() == nil && none.ClientCredentials() == nil)
	})
}
