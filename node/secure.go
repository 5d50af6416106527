package node

import (
	"crypto/tls"
	"net/http"
	"time"

	"go.uber.org/zap"

	"chervilpath/io/certs"
	"chervilpath/io/endpoint"
)

// secured is how the instance's connections are protected. Servers without a
// certificate have nil and use plain TCP.
type secured struct {
	callerServer, operatorServer, peerServer *tls.Config
	// peers makes a transport use the instance's certificate, or is nil.
	peers               func(*http.Transport)
	endpoints, platform *http.Transport
}

// openCerts reads the certificates that the settings name.
func (n *Instance) openCerts() (*secured, error) {
	files := n.cfg.TLS()
	out := &secured{endpoints: endpoint.Transport(), platform: endpoint.Transport()}
	for _, server := range []struct {
		files certs.Files
		to    **tls.Config
	}{
		{certs.Files{Cert: files.CallerCert, Key: files.CallerKey}, &out.callerServer},
		{certs.Files{Cert: files.OperatorCert, Key: files.OperatorKey}, &out.operatorServer},
	} {
		if server.files.Cert == "" {
			continue
		}
		s, err := n.openStore(server.files)
		if err != nil {
			return nil, err
		}
		*server.to = s.Server(false)
	}
	for _, client := range []struct {
		ca string
		to *http.Transport
	}{{files.EndpointCA, out.endpoints}, {files.PlatformCA, out.platform}} {
		s, err := n.openStore(certs.Files{CA: client.ca})
		if err != nil {
			return nil, err
		}
		s.Apply(client.to)
	}
	if files.PeerCert == "" {
		return out, nil
	}
	s, err := n.openStore(certs.Files{Cert: files.PeerCert, Key: files.PeerKey, CA: files.PeerCA})
	if err != nil {
		return nil, err
	}
	out.peerServer, out.peers = s.Server(true), s.Apply
	return out, nil
}

func (n *Instance) openStore(files certs.Files) (*certs.Store, error) {
	return certs.Open(files, time.Now, func(err error) {
		n.log.Error("certificate not read again; the last good one stays", zap.Error(err))
	})
}
