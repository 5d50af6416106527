package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/io/certs"
	"chervilpath/io/endpoint"
)

// transportSecurity holds the TLS configuration of the instance's servers and
// clients.
type transportSecurity struct {
	// The TLS configurations of the servers. One that is nil means that no
	// certificate is set and that the server uses plain TCP.
	callerTLS, operatorTLS, peerTLS *tls.Config
	// configurePeerTLS configures a transport for TLS to peers with the instance's
	// certificate. It is nil if peers use plain TCP.
	configurePeerTLS func(*http.Transport)
	// The transports of the clients for endpoints and the platform.
	endpointTransport, platformTransport *http.Transport
}

// loadCerts reads the certificates that are named in the settings.
func (in *Instance) loadCerts() (*transportSecurity, error) {
	files := in.cfg.TLS()
	security := &transportSecurity{endpointTransport: endpoint.NewTransport(), platformTransport: endpoint.NewTransport()}
	for _, server := range []struct {
		files certs.Files
		dst   **tls.Config
	}{
		{certs.Files{Cert: files.CallerCert, Key: files.CallerKey}, &security.callerTLS},
		{certs.Files{Cert: files.OperatorCert, Key: files.OperatorKey}, &security.operatorTLS},
	} {
		if server.files.Cert == "" {
			continue
		}
		s, err := in.openCertStore(server.files)
		if err != nil {
			return nil, err
		}
		*server.dst = s.ServerConfig(false)
	}
	for _, client := range []struct {
		ca  string
		dst *http.Transport
	}{{files.EndpointCA, security.endpointTransport}, {files.PlatformCA, security.platformTransport}} {
		s, err := in.openCertStore(certs.Files{CA: client.ca})
		if err != nil {
			return nil, err
		}
		s.ConfigureTransport(client.dst)
	}
	if files.PeerCert == "" {
		return security, nil
	}
	s, err := in.openCertStore(certs.Files{Cert: files.PeerCert, Key: files.PeerKey, CA: files.PeerCA})
	if err != nil {
		return nil, err
	}
	security.peerTLS, security.configurePeerTLS = s.ServerConfig(true), s.ConfigureTransport
	return security, nil
}

// openCertStore opens a store that reads the files again when they change.
func (in *Instance) openCertStore(files certs.Files) (*certs.Store, error) {
	return certs.Open(files, time.Now, func(err error) {
		in.log.Error("changed certificate files could not be read; the previous certificate stays in use", zap.Error(err))
	})
}
