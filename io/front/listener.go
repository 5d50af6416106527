package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"chervilpath/core/memory"
)

const (
	// MaxHeaderBytes is the largest limit for the header of a request that is followed.
	MaxHeaderBytes = 1 << 20

	// readAhead is how many bytes after the header net/http may read along with it.
	readAhead = 4096

	// lingerTime is how long a connection stays open after a refusal of its header, so
	// that the caller, which may still be sending, reads the refusal.
	lingerTime = 500 * time.Millisecond
)

// headerTooLarge is the response to a request whose header is too large.
var headerTooLarge = fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))

var errHeaderTooLarge = errors.New("the header of the request is too large")

type (
	// Limits bounds how callers use their connections.
	Limits struct {
		HeaderBytes int
		// HeaderTimeout is how long a caller may take to send the header of a request,
		// and IdleTimeout how long a connection may stay without a request.
		HeaderTimeout, IdleTimeout time.Duration
	}

	// Listener accepts connections on which limits are enforced that may change at any
	// time. A connection that is idle has at least the time that was the limit when it
	// became idle, and more if the limit has been raised since. The http.Server that
	// uses it must have no timeouts of its own, and TrackState as its ConnState.
	Listener struct {
		net.Listener
		limits  func() Limits
		waiting *memory.Waiting
	}

	// callerConn is a connection of a caller. Its fields change only between two reads
	// and before the next read begins.
	callerConn struct {
		net.Conn
		limits func() Limits
		writer *callerWriter
		phase  phase
		// since is when the phase began.
		since       time.Time
		headerBytes int
		// interrupted is set while the connection is to be closed as soon as it is idle.
		interrupted atomic.Bool
	}

	// phase is what a connection waits for.
	phase uint8
)

const (
	// readingHeader lasts until the header of a request has been read.
	readingHeader phase = iota
	// serving lasts until the response has been written.
	serving
	// idle lasts until the first byte of the next request.
	idle
)

// NewListener returns a listener whose connections are bounded by what limits returns, and by
// waiting in what they keep for callers that read slowly. If waiting is nil, writes wait for them.
func NewListener(ln net.Listener, limits func() Limits, waiting *memory.Waiting) *Listener {
	return &Listener{Listener: ln, limits: limits, waiting: waiting}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits, writer: newCallerWriter(c, l.waiting), since: time.Now()}, nil
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) { return c.writer.write(p) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.writer.close()
	return c.Conn.Close()
}

// TrackState is an http.Server.ConnState.
func TrackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.begin(serving)
		_ = c.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.begin(idle)
	}
}

func (c *callerConn) begin(p phase) { c.phase, c.since, c.headerBytes = p, time.Now(), 0 }

// deadline returns when the phase has to end.
func (c *callerConn) deadline() time.Time {
	if c.phase == idle && c.interrupted.Load() {
		return time.Unix(1, 0)
	}
	if c.phase == idle {
		return c.since.Add(c.limits().IdleTimeout)
	}
	return c.since.Add(c.limits().HeaderTimeout)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.phase == serving {
		return c.Conn.Read(p)
	}
	for {
		if err := c.SetReadDeadline(c.deadline()); err != nil {
			return 0, err
		}
		if d := c.deadline(); c.interrupted.Load() {
			// The connection was interrupted after its deadline had been computed.
			_ = c.SetReadDeadline(d)
		}
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.deadline()) {
			// The limit was raised meanwhile.
			continue
		}
		if n > 0 && c.phase == idle {
			c.begin(readingHeader)
		}
		if c.headerBytes += n; c.headerBytes > c.limits().HeaderBytes+readAhead {
			return 0, c.refuseHeader()
		}
		return n, err
	}
}

// refuseHeader responds to a request whose header is too large, and returns an error to
// which net/http does not respond.
func (c *callerConn) refuseHeader() error {
	_, err := c.Write([]byte(headerTooLarge))
	if err == nil && c.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeaderTooLarge}
}

// CloseWrite ends the sending direction of the connection. net/http uses it so that
// callers read a response before the connection is reset.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}
