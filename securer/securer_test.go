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

func serveHTTPS(t *testing.T, tlsConfig *tls.Config) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.TLS = tlsConfig
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func getHTTPS(server *httptest.Server, tlsConfig *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: tlsConfig}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get(server.URL)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestHTTP(t *testing.T) {
	trustedCA, otherCA := NewCA(t, "ours"), NewCA(t, "other")
	server := serveHTTPS(t, newSecurer(t, trustedCA.Issue(t, "server", trustedCA)).ServerTLS())

	t.Run("accepts a certificate of the trusted CA", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(getHTTPS(server, newSecurer(t, trustedCA.Issue(t, "client", trustedCA)).ClientTLS()))
	})
	t.Run("rejects a client certificate of another CA", func(t *testing.T) {
		is := is.New(t)
		is.True(getHTTPS(server, newSecurer(t, otherCA.Issue(t, "client", trustedCA)).ClientTLS()) != nil)
	})
	t.Run("rejects a client without a certificate", func(t *testing.T) {
		is := is.New(t)
		tlsConfig := newSecurer(t, trustedCA.Issue(t, "client", trustedCA)).ClientTLS()
		tlsConfig.Certificates = nil
		is.True(getHTTPS(server, tlsConfig) != nil)
	})
	t.Run("the client rejects a server certificate of another CA", func(t *testing.T) {
		is := is.New(t)
		is.True(getHTTPS(server, newSecurer(t, trustedCA.Issue(t, "client", otherCA)).ClientTLS()) != nil)
	})
	t.Run("rejects TLS 1.2", func(t *testing.T) {
		is := is.New(t)
		tlsConfig := newSecurer(t, trustedCA.Issue(t, "client", trustedCA)).ClientTLS()
		tlsConfig.MinVersion, tlsConfig.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
		is.True(getHTTPS(server, tlsConfig) != nil)
	})
}

func TestGRPC(t *testing.T) {
	trustedCA, otherCA := NewCA(t, "ours"), NewCA(t, "other")
	listener := must(net.Listen("tcp", "127.0.0.1:0"))(t)
	server := grpc.NewServer(grpc.Creds(newSecurer(t, trustedCA.Issue(t, "server", trustedCA)).ServerCredentials()))
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
	t.Run("accepts a certificate of the trusted CA", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(check(t, newSecurer(t, trustedCA.Issue(t, "client", trustedCA))))
	})
	t.Run("rejects a certificate of another CA", func(t *testing.T) {
		is := is.New(t)
		is.True(check(t, newSecurer(t, otherCA.Issue(t, "client", trustedCA))) != nil)
	})
}

func TestNew(t *testing.T) {
	trustedCA := NewCA(t, "ours")
	t.Run("requires all files together", func(t *testing.T) {
		is := is.New(t)
		_, err := New(Config{CertFile: "a"})
		is.True(errors.Is(err, ErrIncomplete))
	})
	t.Run("rejects a CA file without a certificate", func(t *testing.T) {
		is := is.New(t)
		config := trustedCA.Issue(t, "client", trustedCA)
		config.CAFile = config.KeyFile
		_, err := New(config)
		is.True(errors.Is(err, ErrTLSFile))
	})
	t.Run("a nil Securer stands for plain text", func(t *testing.T) {
		is := is.New(t)
		var nilSecurer *Securer
		is.True(nilSecurer.ServerTLS() == nil && nilSecurer.ClientTLS() == nil)
		is.True(nilSecurer.ServerCredentials() == nil && nilSecurer.ClientCredentials() == nil)
	})
}
