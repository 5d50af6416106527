// Package upstream speaks to the servers behind routes by HTTP/1.1.
//
// It owns the connections to them and the proof of what a server got of a
// request. It must not repeat a call: core/relay decides that.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilpath/core/relay"
)

const (
	// dialTimeout bounds a new connection: zones are a few milliseconds apart,
	// and a lost first packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond

	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 900 * time.Millisecond

	// idleTimeout is below the idle timeout of servers, so that a request
	// rarely meets the close of a kept connection.
	idleTimeout = 4 * time.Second

	maxIdleConnsPerServer = 32

	// optTCPUserTimeout is TCP_USER_TIMEOUT of tcp(7).
	optTCPUserTimeout = 18
)

type (
	// Client sends requests to servers. Use New. It is safe for concurrent use.
	Client struct {
		transport      *http.Transport
		outgoingHeader func(relay.Attempt) http.Header
		readResponse   func(resp *http.Response, id string) (*relay.Response, error)
	}

	// sendTrace notes what became of a send.
	sendTrace struct {
		mu            sync.Mutex
		conn          net.Conn
		writtenBefore int64
	}

	// countingConn counts what was written, so that a send of which nothing left
	// the process can be told.
	countingConn struct {
		net.Conn
		written atomic.Int64
	}
)

// NewTransport returns a transport whose connections are kept and that never
// waits long for a peer that does not answer.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// New returns a client that writes and reads heads by the given functions.
func New(transport *http.Transport, outgoingHeader func(relay.Attempt) http.Header, readResponse func(*http.Response, string) (*relay.Response, error)) *Client {
	return &Client{transport: transport, outgoingHeader: outgoingHeader, readResponse: readResponse}
}

// Send makes one attempt. Its error is a *relay.SendError.
func (c *Client) Send(ctx context.Context, a relay.Attempt) (*relay.Response, error) {
	trace := &sendTrace{}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace.clientTrace()), a)
	if err != nil {
		return nil, &relay.SendError{Err: err, NotSent: true}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &relay.SendError{Err: fmt.Errorf("sending to server %s: %w", a.Server.ID, err), NotSent: trace.notSent()}
	}
	out, err := c.readResponse(resp, a.Request.ID)
	if err != nil {
		// What else comes on this connection belongs to nobody.
		trace.close()
		_ = resp.Body.Close()
		return nil, &relay.SendError{Err: fmt.Errorf("reading the answer of server %s: %w", a.Server.ID, err)}
	}
	out.Body = resp.Body
	return out, nil
}

func (c *Client) request(ctx context.Context, a relay.Attempt) (*http.Request, error) {
	u, err := targetURL(a)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{
		Method: a.Request.Method, URL: u, Host: a.Request.Host, Header: c.outgoingHeader(a),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: requestBody(a.Request), ContentLength: int64(len(a.Request.Body)),
	}).WithContext(ctx)
	return req, nil
}

// requestBody returns a body that keeps net/http from sending a request again by
// itself, which it does without a body for some methods and headers.
func requestBody(r *relay.Request) io.ReadCloser {
	if len(r.Body) == 0 && r.Method == http.MethodPost && len(r.Header["Idempotency-Key"])+len(r.Header["X-Idempotency-Key"]) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// targetURL returns the URL that makes net/http send the target as it came.
func targetURL(a relay.Attempt) (*url.URL, error) {
	target := a.Request.Target
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return nil, fmt.Errorf("reading target %q: %w", target, err)
		}
		u.Scheme, u.Host = "http", a.Server.Address
		return u, nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	return &url.URL{Scheme: "http", Host: a.Server.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}, nil
}

func (t *sendTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conn = info.Conn
			if c, ok := info.Conn.(*countingConn); ok {
				t.writtenBefore = c.written.Load()
			}
		},
	}
}

// notSent reports whether the server provably got nothing.
func (t *sendTrace) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return true
	}
	c, ok := t.conn.(*countingConn)
	return ok && c.written.Load() == t.writtenBefore
}

func (t *sendTrace) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
