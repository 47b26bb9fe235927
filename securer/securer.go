// Package securer builds mutual TLS settings for listeners and clients.
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
	// ErrIncomplete reports that some but not all files are named.
	ErrIncomplete = errors.New("certificate, key and CA files are needed together")
	// ErrMaterial reports a file that does not hold what it should.
	ErrMaterial = errors.New("unusable TLS file")
)

// Config names the PEM files of one instance or operator.
type Config struct {
	CertFile string
	KeyFile  string
	// CAFile holds the authorities that sign the certificates of both sides.
	CAFile string
}

// IsSet tells whether any file is named; with none, plain text is meant.
func (c Config) IsSet() bool { return c.CertFile != "" || c.KeyFile != "" || c.CAFile != "" }

// Securer holds an own certificate and the authorities trusted for the other side. A nil Securer means plain text.
type Securer struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New reads the files. Errors wrap ErrIncomplete or ErrMaterial.
func New(config Config) (*Securer, error) {
	if config.CertFile == "" || config.KeyFile == "" || config.CAFile == "" {
		return nil, ErrIncomplete
	}
	certificate, err := tls.LoadX509KeyPair(config.CertFile, config.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %s, %s: %w", ErrMaterial, config.CertFile, config.KeyFile, err)
	}
	authorities, err := readAuthorities(config.CAFile)
	if err != nil {
		return nil, err
	}
	return &Securer{certificate: certificate, authorities: authorities}, nil
}

// ServerTLS returns settings that demand a client certificate; nil for plain text.
func (s *Securer) ServerTLS() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.authorities,
	}
}

// ClientTLS returns settings that present the certificate and verify the server's address; nil for plain text.
func (s *Securer) ClientTLS() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authorities,
	}
}

// ServerCredentials returns gRPC credentials for listeners; nil for plain text.
func (s *Securer) ServerCredentials() credentials.TransportCredentials {
	if s == nil {
		return nil
	}
	return credentials.NewTLS(s.ServerTLS())
}

// ClientCredentials returns gRPC credentials for clients; nil for plain text.
func (s *Securer) ClientCredentials() credentials.TransportCredentials {
	if s == nil {
		return nil
	}
	return credentials.NewTLS(s.ClientTLS())
}

func readAuthorities(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMaterial, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s holds no certificate", ErrMaterial, file)
	}
	return pool, nil
}
