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
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

type (
	// Transport is an http.RoundTripper whose responses are checked. Use NewTransport to
	// create one. It is safe for concurrent use.
	Transport struct{ base *http.Transport }

	dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
)

// commandDialTimeout limits the time to open a connection with TLS for a command.
const commandDialTimeout = 30 * time.Second

var (
	// ErrMalformed is wrapped by the errors of responses whose head HTTP/1.1 does not allow.
	ErrMalformed = errors.New("malformed response")

	// ErrCutOff is wrapped by the errors of responses without a length whose connection failed
	// before their end.
	ErrCutOff = errors.New("the connection failed before the end of the response")
)

// NewTransport returns a transport with the settings of base, which must not be used otherwise.
// For a server with TLS, base needs a DialTLSContext: connections that net/http encrypts by
// itself are not checked.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = checkedDial(base.DialContext)
	if base.DialTLSContext != nil {
		base.DialTLSContext = checkedDial(base.DialTLSContext)
	}
	return &Transport{base: base}
}

// NewSingleUseTransport returns a transport as NewTransport does that uses each connection for one
// request, so that no response can be one to an earlier request.
func NewSingleUseTransport(base *http.Transport) *Transport {
	base.DisableKeepAlives = true
	return NewTransport(base)
}

// checkedDial returns a function that opens connections as dial does, whose responses are checked.
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
	if headErr := used.headError(); headErr != nil {
		// The error of net/http may tell only what it made of the part that it got.
		return nil, headErr
	}
	return nil, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
