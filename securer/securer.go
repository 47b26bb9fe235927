// Package securer builds mutual TLS configurations for servers and clients.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc/credentials"
)

var (
	// ErrIncomplete reports that only some of the certificate, key and CA files are set.
	ErrIncomplete = errors.New("certificate, key and CA files must be set together")
	// ErrTLSFile reports a certificate, key or CA file that cannot be read or parsed.
	ErrTLSFile = errors.New("cannot load TLS file")
)

// Config names the PEM files of one instance or operator.
type Config struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authorities (CAs) that are trusted to sign the certificate of the other side.
	CAFile string
}

// IsSet reports whether any file is named. If none is, connections use plain text.
func (c Config) IsSet() bool { return c.CertFile != "" || c.KeyFile != "" || c.CAFile != "" }

// Securer holds the certificate of this side and the CAs trusted for the other side. A nil Securer stands for plain
// text.
type Securer struct {
	certificate tls.Certificate
	trustedCAs  *x509.CertPool
}

// New loads the files. Errors wrap ErrIncomplete or ErrTLSFile.
func New(config Config) (*Securer, error) {
	if config.CertFile == "" || config.KeyFile == "" || config.CAFile == "" {
		return nil, ErrIncomplete
	}
	certificate, err := tls.LoadX509KeyPair(config.CertFile, config.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %s, %s: %w", ErrTLSFile, config.CertFile, config.KeyFile, err)
	}
	trustedCAs, err := loadCAPool(config.CAFile)
	if err != nil {
		return nil, err
	}
	return &Securer{certificate: certificate, trustedCAs: trustedCAs}, nil
}

// ServerTLS returns a configuration that requires a client certificate signed by a trusted CA; nil for plain text.
func (s *Securer) ServerTLS() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.trustedCAs,
	}
}

// ClientTLS returns a configuration that presents the certificate and verifies the server's certificate and address;
// nil for plain text.
func (s *Securer) ClientTLS() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.trustedCAs,
	}
}

// ServerCredentials returns gRPC transport credentials for servers; nil for plain text.
func (s *Securer) ServerCredentials() credentials.TransportCredentials {
	if s == nil {
		return nil
	}
	return credentials.NewTLS(s.ServerTLS())
}

// ClientCredentials returns gRPC transport credentials for clients; nil for plain text.
func (s *Securer) ClientCredentials() credentials.TransportCredentials {
	if s == nil {
		return nil
	}
	return credentials.NewTLS(s.ClientTLS())
}

func loadCAPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTLSFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s contains no certificate", ErrTLSFile, file)
	}
	return pool, nil
}
