// Package http1 refuses HTTP/1.1 responses that are broken and that net/http accepts.
//
// It owns the checks of what a server sends, below net/http, which parses and keeps the
// connections. A broken response is an error of its request and closes its connection. The
// package must not retry a request or judge a server: its callers do.
package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

type (
	// Transport is an http.RoundTripper whose responses are checked. Use NewTransport to
	// create one. It is safe for concurrent use.
	Transport struct{ base *http.Transport }

	// conn is a connection to a server.
	conn struct {
		net.Conn

		// mu guards head.
		mu   sync.Mutex
		head headChecker

		// writing is held by a write in progress, and guards writeErr, the error of the first
		// write that failed.
		writing  sync.Mutex
		writeErr error
	}

	dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
)

// commandDialTimeout limits the time to open a connection with TLS for a command.
const commandDialTimeout = 30 * time.Second

// ErrMalformed is wrapped by the errors of responses whose head HTTP/1.1 does not allow.
var ErrMalformed = errors.New("malformed response")

// NewTransport returns a transport that uses the settings of base, which it takes over. For
// a server with TLS, base needs a DialTLSContext: connections that net/http encrypts by
// itself are not checked.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = checkedDial(base.DialContext)
	if base.DialTLSContext != nil {
		base.DialTLSContext = checkedDial(base.DialTLSContext)
	}
	return &Transport{base: base}
}

func checkedDial(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// NewClient returns a client with the settings of net/http's default transport, for commands.
func NewClient() *http.Client {
	base := http.DefaultTransport.(*http.Transport).Clone()
	// Other versions of HTTP are not checked.
	base.ForceAttemptHTTP2 = false
	base.DialTLSContext = (&tls.Dialer{NetDialer: &net.Dialer{Timeout: commandDialTimeout}}).DialContext
	return &http.Client{Transport: NewTransport(base)}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used = c
			c.expectResponse()
		}
	}})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err == nil || used == nil {
		return resp, err
	}
	if headErr := used.checkHead(nil); headErr != nil {
		// The error of net/http may tell only what it made of the part that it got.
		return nil, headErr
	}
	return nil, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// ErrReset is wrapped by the errors of responses whose connection failed before their end.
var ErrReset = errors.New("the connection failed before the end of the response")

// NetConn returns the connection that a connection of a Transport checks, or c itself if it
// is another one.
func NetConn(c net.Conn) net.Conn {
	if checked, ok := c.(*conn); ok {
		return checked.Conn
	}
	return c
}

// expectResponse says that a request is about to be sent, so that the next bytes are the head
// of a response.
func (c *conn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
}

// Read implements net.Conn. It never returns the end of a line that is broken, so that net/http
// finds no end of a broken head. It fails from then on without a wait for the server, since
// net/http may take what came before for a line.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.checkHead(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if headErr := c.checkHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

func (c *conn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(p)
}
