package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/relay"
	"chervilpath/io/upstream"
)

// newServer starts a server that responds to the first request of a connection
// and closes the connection without a response on the second. received counts
// the requests.
func newServer(t *testing.T) (address string, received *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if received.Add(1)%2 == 1 {
						_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

func newClient() *upstream.Client {
	outgoingHeader := func(a relay.Attempt) http.Header {
		out := make(http.Header)
		for name, values := range a.Request.Header {
			out[name] = values
		}
		return out
	}
	readResponse := func(resp *http.Response, _ string) (*relay.Response, error) {
		return &relay.Response{Status: resp.StatusCode}, nil
	}
	return upstream.New(upstream.NewTransport(), outgoingHeader, readResponse, func(fleet.Server, *http.Response) {})
}

// TestTransportDoesNotRetry guards against a request that reaches a server twice:
// net/http retries some requests by itself if a reused connection breaks.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, tt := range []struct {
		method, body string
		header       map[string][]string
	}{
		{"GET", "", nil}, {"POST", "", nil}, {"POST", "body", nil}, {"DELETE", "", nil},
		{"POST", "", map[string][]string{"Idempotency-Key": {"k"}}}, {"POST", "body", map[string][]string{"Idempotency-Key": {"k"}}},
	} {
		address, arrivals := newServer(t)
		client := newClient()
		a := relay.Attempt{Server: fleet.Server{Address: address}, Remaining: time.Second, Request: &relay.Request{
			Method: tt.method, Target: "/x", Host: "h", Body: []byte(tt.body), Header: tt.header,
		}}
		resp, err := client.Send(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		_, err = client.Send(t.Context(), a)
		var sendErr *relay.SendError
		if !errors.As(err, &sendErr) || sendErr.NotSent {
			t.Errorf("%s: error %v, want a SendError without NotSent", tt.method, err)
		}
		if n := arrivals.Load(); n != 2 {
			t.Errorf("%s with header %v: %d requests received for two sends", tt.method, tt.header, n)
		}
	}
}

func TestRefusedConnectionReportsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = newClient().Send(t.Context(), relay.Attempt{
		Server: fleet.Server{Address: address}, Request: &relay.Request{Method: "POST", Target: "/x", Host: "h", Body: []byte("b")},
	})
	var sendErr *relay.SendError
	if !errors.As(err, &sendErr) || !sendErr.NotSent {
		t.Errorf("error %v, want a SendError with NotSent", err)
	}
}

// Guards against a server that stops in the middle of its answer's head and closes: the
// caller got a success with an empty or short body. It counts as a send that may have
// run, at whatever byte the server stops, and so does a body that ends early.
func TestAnswerThatEndsEarlyIsAnError(t *testing.T) {
	for name, whole := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer",
		"chunks": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	} {
		for n := range len(whole) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, whole[:n])
				}
			}()
			a := relay.Attempt{Request: &relay.Request{ID: "r", Method: http.MethodGet, Target: "/x"}, Server: fleet.Server{ID: "s", Address: l.Addr().String()}}
			resp, err := newClient().Send(t.Context(), a)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if sendErr, ok := errors.AsType[*relay.SendError](err); err == nil || ok && sendErr.NotSent {
				t.Errorf("%s, ended after %d of %d bytes: error %v, want one of a send that may have run", name, n, len(whole), err)
			}
			_ = l.Close()
		}
	}
}

// Guards against a request that is sent though the permission to send it has expired, while
// the process was stopped or waited for a connection, and against one that spoils the
// connection for others.
func TestNothingIsSentAfterThePermissionHasExpired(t *testing.T) {
	address, received := newServer(t)
	client := newClient()
	send := func(at time.Time) error {
		resp, err := client.Send(t.Context(), relay.Attempt{
			Server: fleet.Server{Address: address}, SendBefore: at, Request: &relay.Request{Method: "POST", Target: "/x", Host: "h", Body: []byte("b")},
		})
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	for i, expired := range []bool{true, false, true, true} {
		at := time.Now().Add(time.Minute)
		if expired {
			at = time.Now().Add(-time.Nanosecond)
		}
		err := send(at)
		if sendErr, ok := errors.AsType[*relay.SendError](err); expired != (ok && sendErr.NotSent) || !expired && err != nil {
			t.Errorf("send %d: error %v", i, err)
		}
	}
	if n := received.Load(); n != 1 {
		t.Errorf("%d requests received, want the one that was sent in time", n)
	}
}
