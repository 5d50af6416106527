package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that is closed in both directions; see tcp(7).
const tcpClosed = 7

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns io.EOF if the server has ended what it sends, and otherwise the error that ended
// the connection. The system reports such an error once: if a write gets it, a read finds an end that
// looks like the server's.
func (c *conn) endError() error {
	if !isClosed(c.Conn) {
		// A write in progress may wait for the server for long.
		return io.EOF
	}
	// A write in progress is about to fail.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		// After the server has ended what it sends, EPIPE is the error of a reset.
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}

// isClosed reports whether a connection is closed in both directions, as it is after a reset. It
// reports true if the state is not known, as for a connection that wraps another one without a
// method NetConn.
func isClosed(c net.Conn) bool {
	for {
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = inner.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	// The descriptor is not valid any more if Control fails.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State == tcpClosed
		}
	})
	return closed
}
