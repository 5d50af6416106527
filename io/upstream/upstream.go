// Package upstream sends the requests of routes to servers over HTTP/1.1.
//
// It owns the connections to the servers and establishes whether a server may
// have received any part of a request. It must not retry a request: core/relay
// decides that.
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
	"syscall"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/relay"
	"chervilpath/io/http1"
)

const (
	// dialTimeout limits the time to open a connection. Zones are a few
	// milliseconds apart, and a lost first packet is retransmitted only after a
	// second.
	dialTimeout = 250 * time.Millisecond

	// idleTimeout is shorter than the idle timeout of servers, so that a
	// request is rarely sent on a connection that the server is closing.
	idleTimeout = 4 * time.Second

	maxIdleConnsPerServer = 32

	// maxHeaderBytes is the largest head of a response, interim responses included.
	maxHeaderBytes = 64 << 10
)

type (
	// Client sends requests to servers. Use New to create one. It is safe for
	// concurrent use.
	Client struct {
		transport *http1.Transport
		// singleUse has the same settings as transport, and uses each connection
		// for one request.
		singleUse      *http1.Transport
		outgoingHeader func(relay.Attempt) http.Header
		readResponse   func(resp *http.Response, id string) (*relay.Response, error)
		// observe is called with the head of each response, before it is read.
		observe func(fleet.Server, *http.Response)
	}

	// sendTrace records the connection that a send used and the number of bytes
	// that had been written to it before.
	sendTrace struct {
		mu            sync.Mutex
		conn          net.Conn
		reused        bool
		writtenBefore int64
	}
)

// errUnprovedRefusal means that a refusal may be a late copy of one of an earlier
// request, so that the request may have run.
var errUnprovedRefusal = errors.New("a refusal on a connection in use again names no request")

// NewTransport returns a transport that keeps connections for reuse and closes
// them soon if the server does not acknowledge what it is sent.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			return controlFD(c, func(fd int) error {
				return errors.Join(setUserTimeout(fd, unackedTimeout), limitBuffers(fd))
			})
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

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// New returns a client with the settings of transport, which must not be used otherwise.
// outgoingHeader returns the header to send with an attempt, and readResponse decodes the
// head of the response to the request with the given ID. observe is called with the server
// and the head of each response.
func New(transport *http.Transport, outgoingHeader func(relay.Attempt) http.Header, readResponse func(*http.Response, string) (*relay.Response, error), observe func(fleet.Server, *http.Response)) *Client {
	singleUse := http1.NewSingleUseTransport(transport.Clone())
	return &Client{transport: http1.NewTransport(transport), singleUse: singleUse, outgoingHeader: outgoingHeader, readResponse: readResponse, observe: observe}
}

// Send makes one attempt. An error is a *relay.SendError.
func (c *Client) Send(ctx context.Context, a relay.Attempt) (*relay.Response, error) {
	trace := &sendTrace{}
	req, err := c.request(httptrace.WithClientTrace(SendBefore(ctx, a.SendBefore), trace.clientTrace()), a)
	if err != nil {
		return nil, &relay.SendError{Err: err, NotSent: true}
	}
	transport := c.transport
	if a.NewConnection {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, &relay.SendError{
			Err: fmt.Errorf("sending to server %s: %w", a.Server.ID, err), NotSent: trace.notSent(), Unanswered: ctx.Err() == nil && isDialTimeout(err),
		}
	}
	c.observe(a.Server, resp)
	out, err := c.readResponse(resp, a.Request.ID)
	if err == nil && out.NotRun && !out.NamesRequest && trace.connReused() {
		err = errUnprovedRefusal
	}
	if err != nil {
		// The connection must not be reused: whatever else arrives on it
		// belongs to no request.
		trace.close()
		_ = resp.Body.Close()
		return nil, &relay.SendError{Err: fmt.Errorf("reading the response of server %s: %w", a.Server.ID, err)}
	}
	out.Body = resp.Body
	return out, nil
}

// isDialTimeout reports whether a server did not answer the request for a connection.
func isDialTimeout(err error) bool {
	opErr, ok := errors.AsType[*net.OpError](err)
	return ok && opErr.Op == "dial" && opErr.Timeout()
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

// requestBody returns a body that keeps net/http from retrying a request by
// itself, which it does for some methods and headers if there is no body.
func requestBody(r *relay.Request) io.ReadCloser {
	if len(r.Body) == 0 && r.Method == http.MethodPost && len(r.Header["Idempotency-Key"])+len(r.Header["X-Idempotency-Key"]) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// targetURL returns a URL for which net/http sends the request target unchanged.
func targetURL(a relay.Attempt) (*url.URL, error) {
	target := a.Request.Target
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return nil, fmt.Errorf("parsing request target %q: %w", target, err)
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
			t.conn, t.reused = info.Conn, info.Reused
			if c, ok := http1.NetConn(info.Conn).(*countingConn); ok {
				t.writtenBefore = c.written.Load()
				c.sendBefore.Store(nil)
			}
		},
	}
}

// notSent reports whether the server provably received nothing.
func (t *sendTrace) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return true
	}
	c, ok := http1.NetConn(t.conn).(*countingConn)
	return ok && c.written.Load() == t.writtenBefore
}

// connReused reports whether the connection carried another request before.
func (t *sendTrace) connReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

func (t *sendTrace) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
