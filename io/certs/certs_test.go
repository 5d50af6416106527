package certs_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"chervilpath/io/certs"
	"chervilpath/io/standin"
)

func newAuthority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue returns the files of a new certificate for an instance at 127.0.0.1.
func issue(t *testing.T, a *standin.Authority) certs.Files {
	t.Helper()
	cert, key, err := a.Issue("instance", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return certs.Files{Cert: cert, Key: key, CA: a.CA()}
}

func open(t *testing.T, f certs.Files, now *time.Time) *certs.Store {
	t.Helper()
	s, err := certs.Open(f, func() time.Time { return *now }, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func serve(t *testing.T, s *certs.Store, mutual bool) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	srv.TLS = s.ServerConfig(mutual)
	srv.StartTLS()
	t.Cleanup(srv.Close)
	return srv.URL
}

// call sends a request over a new connection.
func call(s *certs.Store, url string) error {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
	s.ConfigureTransport(transport)
	resp, err := (&http.Client{Transport: transport}).Get(url)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestMutualTLSAcceptsOnlySignedPeers(t *testing.T) {
	now := time.Now()
	ours, others := newAuthority(t), newAuthority(t)
	server := open(t, issue(t, ours), &now)
	url := serve(t, server, true)
	if err := call(server, url); err != nil {
		t.Errorf("a peer signed by the authority was rejected: %v", err)
	}
	foreign := issue(t, others)
	foreign.CA = ours.CA()
	if err := call(open(t, foreign, &now), url); err == nil {
		t.Error("a peer signed by another authority was accepted")
	}
	if err := call(open(t, certs.Files{CA: ours.CA()}, &now), url); err == nil {
		t.Error("a peer without a certificate was accepted")
	}
	if err := call(open(t, issue(t, others), &now), serve(t, server, false)); err == nil {
		t.Error("a server signed by another authority was accepted")
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	now := time.Now()
	old, renewed := newAuthority(t), newAuthority(t)
	files := issue(t, old)
	server := open(t, files, &now)
	url := serve(t, server, true)
	client := open(t, issue(t, renewed), &now)
	if err := call(client, url); err == nil {
		t.Fatal("a client signed by another authority was accepted")
	}
	next := issue(t, renewed)
	for from, to := range map[string]string{next.Cert: files.Cert, next.Key: files.Key, next.CA: files.CA} {
		data, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(to, now.Add(time.Minute), now.Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(2 * time.Second)
	if err := call(client, url); err != nil {
		t.Errorf("after the files changed, the client was rejected: %v", err)
	}
	if err := os.WriteFile(files.Cert, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * time.Second)
	if err := call(client, url); err != nil {
		t.Errorf("a damaged file replaced a valid certificate: %v", err)
	}
}
