package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/io/certs"
	"chervilpath/io/endpoint"
)

// transportSecurity is how the instance's connections are protected. Servers without a
// certificate have nil and use plain TCP.
type transportSecurity struct {
	callerTLS, operatorTLS, peerTLS *tls.Config
	// applyPeerCerts makes a transport use the instance's certificate, or is nil.
	applyPeerCerts                       func(*http.Transport)
	endpointTransport, platformTransport *http.Transport
}

// loadCerts reads the certificates that the settings name.
func (n *Instance) loadCerts() (*transportSecurity, error) {
	files := n.cfg.TLS()
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
		s, err := n.openCertStore(server.files)
		if err != nil {
			return nil, err
		}
		*server.dst = s.ServerConfig(false)
	}
	for _, client := range []struct {
		ca  string
		dst *http.Transport
	}{{files.EndpointCA, security.endpointTransport}, {files.PlatformCA, security.platformTransport}} {
		s, err := n.openCertStore(certs.Files{CA: client.ca})
		if err != nil {
			return nil, err
		}
		s.ConfigureTransport(client.dst)
	}
	if files.PeerCert == "" {
		return security, nil
	}
	s, err := n.openCertStore(certs.Files{Cert: files.PeerCert, Key: files.PeerKey, CA: files.PeerCA})
	if err != nil {
		return nil, err
	}
	security.peerTLS, security.applyPeerCerts = s.ServerConfig(true), s.ConfigureTransport
	return security, nil
}

func (n *Instance) openCertStore(files certs.Files) (*certs.Store, error) {
	return certs.Open(files, time.Now, func(err error) {
		n.log.Error("certificate not read again; the last good one stays", zap.Error(err))
	})
}
