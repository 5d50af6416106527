package http1_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilpath/io/http1"
	"chervilpath/io/standin"
)

// repeats is how often each response is sent.
const repeats = 50

// newServer returns a server that answers each request with a text, written in parts of the
// given size.
func newServer(t *testing.T, text string, partBytes int) *standin.Raw {
	t.Helper()
	s, err := standin.NewRaw(text, partBytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// exchange sends a request with a body, which net/http does not repeat.
func exchange(client *http.Client, url string) (status int, body string, err error) {
	resp, err := client.Post(url, "text/plain", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DisableCompression: true}), Timeout: 10 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// checkBroken checks that a response is an error, whole or byte by byte, and that its
// connection carries no other request.
func checkBroken(t *testing.T, text string) {
	t.Helper()
	for _, partBytes := range []int{1, 7, len(text)} {
		server := newServer(t, text, partBytes)
		client := newClient(t)
		for range repeats {
			if status, body, err := exchange(client, "http://"+server.Address()); !errors.Is(err, http1.ErrMalformed) {
				t.Fatalf("in parts of %d bytes: status %d, body %q, error %v; want ErrMalformed", partBytes, status, body, err)
			}
		}
		if n := server.Conns(); n != repeats {
			t.Errorf("in parts of %d bytes: %d connections for %d requests", partBytes, n, repeats)
		}
	}
}

func TestStatusLineThatIsBroken(t *testing.T) {
	t.Parallel()
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 +20 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r", "http/1.1 200 OK", "", " HTTP/1.1 200 OK",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			checkBroken(t, line+"\r\nContent-Length: 2\r\n\r\nok")
			checkBroken(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

func TestFieldsThatAreBroken(t *testing.T) {
	t.Parallel()
	for _, lines := range []string{
		"X-Name : 1", "X Name: 1", " X-Name: 1", "\tX-Name: 1", "X-Name\t: 1", "X-\x01Name: 1", "X-Name\x00: 1", "X-\x7fName: 1", "X-\rName: 1",
		"X-N\xe8me: 1", "X-(Name): 1", ": 1", "X-Name", " ", "X-Name: 1\x00", "X-Name: a\rb", "X-Name: 1\r",
		"Content-Length : 1", "\tContent-Length: 1", "Content-Length: 2\r\n folded", "Transfer-Encoding : chunked",
	} {
		t.Run(fmt.Sprintf("%q", lines), func(t *testing.T) {
			t.Parallel()
			checkBroken(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\nContent-Length: 2\r\n\r\nok")
			checkBroken(t, "HTTP/1.1 200 OK\r\nX-Before: 1\r\n"+lines+"\r\nContent-Length: 2\r\n\r\nok")
			checkBroken(t, "HTTP/1.1 103 Early Hints\r\n"+lines+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// Guards against chunks that are taken for the body, or a body whose end is told in two ways.
func TestFramingThatIsBroken(t *testing.T) {
	t.Parallel()
	const chunks = "\r\n2\r\nok\r\n0\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n",
		"HTTP/1.1 200 OK\r\ncontent-length: 12\r\ntransfer-encoding: chunked\r\n",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			t.Parallel()
			checkBroken(t, head+chunks)
		})
	}
}

// Guards against checks that refuse a sound response or close its connection.
func TestSoundResponsesKeepTheirConnection(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"length":                 {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"chunks":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"},
		"trailers":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok"},
		"no body":                {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"interim responses":      {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"no reason":              {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"no space and no reason": {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"reason in Latin-1":      {"HTTP/1.1 200 tr\xe8s bien\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		"lines without CR":       {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200, "ok"},
		"an unusual status":      {"HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599, "ok"},
		"fields":                 {"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: \t a \xe8 \t b\t \r\nX-Empty:\r\nX-Colon: a:b\r\nContent-Length:2\r\n\r\nok", 200, "ok"},
		"a body like a head":     {"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n\r\nHTTP/1.1 000\r\n :", 200, "\r\nHTTP/1.1 000\r\n :"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, partBytes := range []int{1, 7, len(tt.text)} {
				server := newServer(t, tt.text, partBytes)
				client := newClient(t)
				for range repeats {
					if status, body, err := exchange(client, "http://"+server.Address()); status != tt.status || body != tt.body || err != nil {
						t.Fatalf("in parts of %d bytes: status %d, body %q, error %v; want %d and %q", partBytes, status, body, err, tt.status, tt.body)
					}
				}
				if n := server.Conns(); n != 1 {
					t.Errorf("in parts of %d bytes: %d connections, want 1", partBytes, n)
				}
			}
		})
	}
}

// Guards against connections with TLS whose responses are not checked.
func TestResponsesOverTLSAreChecked(t *testing.T) {
	t.Parallel()
	text := "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
	}))
	defer server.Close()
	dialer := &tls.Dialer{Config: server.Client().Transport.(*http.Transport).TLSClientConfig}
	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DialTLSContext: dialer.DialContext}), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for range repeats {
		if status, body, err := exchange(client, server.URL+"/broken"); !errors.Is(err, http1.ErrMalformed) {
			t.Fatalf("status %d, body %q, error %v; want ErrMalformed", status, body, err)
		}
		if status, body, err := exchange(client, server.URL+"/sound"); status != http.StatusOK || body != "ok" || err != nil {
			t.Fatalf("status %d, body %q, error %v; want the sound answer", status, body, err)
		}
	}
}
