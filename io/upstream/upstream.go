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

	maxIdlePerServer = 32

	// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7).
	tcpUserTimeout = 18
)

type (
	// Client sends requests to servers. Use New. It is safe for concurrent use.
	Client struct {
		transport *http.Transport
		outgoing  func(relay.Attempt) http.Header
		read      func(resp *http.Response, id string) (*relay.Response, error)
	}

	// probe notes what became of a send.
	probe struct {
		mu     sync.Mutex
		conn   net.Conn
		before int64
	}

	// countedConn counts what was written, so that a send of which nothing left
	// the process can be told.
	countedConn struct {
		net.Conn
		written atomic.Int64
	}
)

// Transport returns a transport whose connections are kept and that never
// waits long for a peer that does not answer.
func Transport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, set)
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
	}
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// New returns a client that writes and reads heads by the given functions.
func New(transport *http.Transport, outgoing func(relay.Attempt) http.Header, read func(*http.Response, string) (*relay.Response, error)) *Client {
	return &Client{transport: transport, outgoing: outgoing, read: read}
}

// Send makes one attempt. Its error is a *relay.SendError.
func (c *Client) Send(ctx context.Context, a relay.Attempt) (*relay.Response, error) {
	p := &probe{}
	req, err := c.request(httptrace.WithClientTrace(ctx, p.trace()), a)
	if err != nil {
		return nil, &relay.SendError{Err: err, NotSent: true}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &relay.SendError{Err: fmt.Errorf("sending to server %s: %w", a.Server.ID, err), NotSent: p.notSent()}
	}
	reply, err := c.read(resp, a.Request.ID)
	if err != nil {
		// What else comes on this connection belongs to nobody.
		p.close()
		_ = resp.Body.Close()
		return nil, &relay.SendError{Err: fmt.Errorf("reading the answer of server %s: %w", a.Server.ID, err)}
	}
	reply.Body = resp.Body
	return reply, nil
}

func (c *Client) request(ctx context.Context, a relay.Attempt) (*http.Request, error) {
	u, err := targetURL(a)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{
		Method: a.Request.Method, URL: u, Host: a.Request.Host, Header: c.outgoing(a),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body(a.Request), ContentLength: int64(len(a.Request.Body)),
	}).WithContext(ctx)
	return req, nil
}

// body returns a body that keeps net/http from sending a request again by
// itself, which it does without a body for some methods and headers.
func body(r *relay.Request) io.ReadCloser {
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
	path, query, has := strings.Cut(target, "?")
	return &url.URL{Scheme: "http", Host: a.Server.Address, Opaque: path, RawQuery: query, ForceQuery: has && query == ""}, nil
}

func (p *probe) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.conn = info.Conn
			if c, ok := info.Conn.(*countedConn); ok {
				p.before = c.written.Load()
			}
		},
	}
}

// notSent reports whether the server provably got nothing.
func (p *probe) notSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return true
	}
	c, ok := p.conn.(*countedConn)
	return ok && c.written.Load() == p.before
}

func (p *probe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
	}
}
