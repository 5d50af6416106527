// Package certs loads certificates from files for crypto/tls. A changed file takes
// effect for new connections within a second, without a restart. If it cannot be
// loaded, the last valid certificate remains in use.
//
// It must not decide where TLS is used: the settings do.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of whether the files
// have changed.
const checkInterval = time.Second

type (
	// Files names the files of one side of a connection. Cert and Key are its own
	// certificate and private key, and CA the authorities that sign the
	// certificates of the other side. Each may be "".
	Files struct {
		Cert, Key, CA string
	}

	// Store holds the certificates that were loaded from the files. Use Open to
	// create one. It is safe for concurrent use.
	Store struct {
		files Files
		now   func() time.Time
		// onReloadError is called with the error if changed files cannot be
		// loaded.
		onReloadError func(error)

		mu        sync.Mutex
		lastCheck time.Time
		modTimes  [3]time.Time
		cert      *tls.Certificate
		pool      *x509.CertPool
	}
)

// Open loads the files. It returns an error if a named file cannot be loaded.
func Open(files Files, now func() time.Time, onReloadError func(error)) (*Store, error) {
	s := &Store{files: files, now: now, onReloadError: onReloadError}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.lastCheck = now()
	s.modTimes = s.readModTimes()
	return s, nil
}

// readModTimes returns the modification time of each file, which is zero for a
// file that cannot be found.
func (s *Store) readModTimes() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func (s *Store) load() error {
	if s.files.Cert != "" {
		cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
		if err != nil {
			return fmt.Errorf("reading certificate %s: %w", s.files.Cert, err)
		}
		s.cert = &cert
	}
	if s.files.CA == "" {
		return nil
	}
	data, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("reading certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return fmt.Errorf("reading certificate authorities: %s contains no valid certificate", s.files.CA)
	}
	s.pool = pool
	return nil
}

// current returns the certificate and the authorities. If the files have changed it
// loads them again, and keeps the previous ones if that fails.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		if modTimes := s.readModTimes(); modTimes != s.modTimes {
			if err := s.load(); err != nil {
				s.onReloadError(err)
			} else {
				s.modTimes = modTimes
			}
		}
	}
	return s.cert, s.pool
}

// ServerConfig returns the TLS configuration of a server that uses the certificate.
// If mutual is set, it accepts only clients whose certificates are signed by the
// authorities.
func (s *Store) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			if cert == nil {
				return nil, errors.New("the server has no certificate")
			}
			cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"http/1.1"}}
			if mutual {
				cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return cfg, nil
		},
	}
}

// ConfigureTransport makes a transport use the certificate and the authorities for
// its TLS connections.
func (s *Store) ConfigureTransport(t *http.Transport) {
	dial := t.DialContext
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cert, pool := s.current()
		cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: pool}
		if cert != nil {
			cfg.Certificates = []tls.Certificate{*cert}
		}
		tlsConn := tls.Client(conn, cfg)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
		}
		return tlsConn, nil
	}
}
