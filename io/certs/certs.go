// Package certs reads certificates from files and gives them to crypto/tls. A
// changed file counts from the next handshake on, without a restart; one that
// cannot be read leaves the last good certificate in use.
//
// It must not decide where TLS is used: the settings say that.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

type (
	// Files names the files of one side. Cert and Key are its own certificate,
	// CA the authorities that sign the other side's. Each may be "".
	Files struct {
		Cert, Key, CA string
	}

	// Store holds what was read from the files. Use Open. It is safe for
	// concurrent use.
	Store struct {
		files Files
		now   func() time.Time
		// onReloadError is called with the error of a file that could not be read again.
		onReloadError func(error)

		mu        sync.Mutex
		lastCheck time.Time
		modTimes  [3]time.Time
		cert      *tls.Certificate
		pool      *x509.CertPool
	}
)

// Open reads the files. It returns an error if one that is named cannot be read.
func Open(files Files, now func() time.Time, onReloadError func(error)) (*Store, error) {
	s := &Store{files: files, now: now, onReloadError: onReloadError}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.lastCheck = now()
	s.modTimes = s.readModTimes()
	return s, nil
}

// readModTimes returns when each file was changed; a file that is not there has the
// zero time.
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
		return fmt.Errorf("reading authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return fmt.Errorf("reading authorities: %s has no certificate", s.files.CA)
	}
	s.pool = pool
	return nil
}

// current returns what the files hold, or what they last held.
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

// ServerConfig returns the configuration of a server with the certificate of the
// files. If mutual, it takes only clients that the authorities have signed.
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

// ConfigureTransport makes a transport use the files for its TLS connections.
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
			return nil, fmt.Errorf("TLS with %s: %w", address, err)
		}
		return tlsConn, nil
	}
}
