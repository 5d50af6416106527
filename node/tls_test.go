package node_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/io/standin"
	"chervilpath/node"
	"chervilpath/platform/stand"
)

const waitTimeout = 20 * time.Second

// startWithTLS starts an instance that uses TLS for all connections. Its
// certificate is issued by the given authority, which it also trusts for peers.
func startWithTLS(t *testing.T, i int, platform, platformCA string, authority *standin.Authority) *node.Instance {
	t.Helper()
	ip := fmt.Sprintf("127.247.0.%d", i)
	cert, key, err := authority.Issue(fmt.Sprint("instance", i), ip)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("[instance]\nname = s%d\nfailureDomain = d\ncallerAddress = %s:8080\npeerAddress = %s:8081\noperatorAddress = %s:8082\n"+
		"[platform]\nurl = %s\n[peers]\nseeds = 127.247.0.1:8081\nsecretFile = s\n"+
		"[tls]\ncallerCert = %s\ncallerKey = %s\noperatorCert = %s\noperatorKey = %s\npeerCert = %s\npeerKey = %s\npeerCA = %s\nplatformCA = %s\n",
		i, ip, ip, ip, platform, cert, key, cert, key, cert, key, authority.CA(), platformCA)
	cfg, err := settings.ParseEntry("s.ini", []byte(text), func(string) ([]byte, error) { return []byte("0123456789abcdef"), nil })
	if err != nil {
		t.Fatal(err)
	}
	k := kernel.New()
	in, err := node.New(k, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return in
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestTLSOnAllConnections checks that two instances discover each other and get
// their declarations over TLS, that an instance whose certificate is from another
// authority does not join them, and that callers are not served without TLS.
func TestTLSOnAllConnections(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	standIn := stand.New(time.Now)
	cert, key, err := trusted.Issue("platform", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	platform := httptest.NewUnstartedServer(standIn)
	platform.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	platform.StartTLS()
	t.Cleanup(platform.Close)
	publishChange(t, publish.New(standIn.Objects(), time.Now), 0)

	firstInstance := startWithTLS(t, 1, platform.URL, trusted.CA(), trusted)
	secondInstance := startWithTLS(t, 2, platform.URL, trusted.CA(), trusted)
	outsider := startWithTLS(t, 3, platform.URL, trusted.CA(), untrusted)
	waitFor(t, "the second instance", func() bool {
		return len(firstInstance.Status().Members) == 2 && len(secondInstance.Status().Members) == 2
	})
	waitFor(t, "the declarations", func() bool { return firstInstance.Ready() && secondInstance.Ready() })
	if n := len(outsider.Status().Members); n != 1 {
		t.Errorf("the instance with an untrusted certificate knows %d members", n)
	}
	if _, err := http.Get("http://" + firstInstance.CallerAddress() + "/openapi.json"); err == nil {
		resp, _ := http.Get("http://" + firstInstance.CallerAddress() + "/openapi.json")
		if resp.StatusCode == http.StatusOK {
			t.Error("callers are served without TLS")
		}
	}
	if err := fetchOverTLS(trusted.CA(), firstInstance.CallerAddress()); err != nil {
		t.Errorf("callers are not served over TLS: %v", err)
	}
}

func newAuthority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// fetchOverTLS requests the callers' API description at the address and trusts
// only the authority in the file ca.
func fetchOverTLS(ca, address string) error {
	data, err := os.ReadFile(ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := client.Get("https://" + address + "/openapi.json")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if !strings.HasPrefix(resp.Status, "200") {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
