// Package arrived accepts TCP connections on which a read that is too late still returns what
// came in time.
//
// A read of the net package whose deadline has passed fails even if bytes have arrived: a
// process that stood still across the deadline would take a peer that has sent for one that is
// silent. The package owns only that order. It must not set deadlines.
package arrived

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

type (
	listener struct{ net.Listener }

	// conn keeps the methods of a TCP connection that net/http uses besides those of
	// net.Conn.
	conn struct{ *net.TCPConn }
)

// NewListener returns a listener for the connections that ln accepts. Those that are not TCP
// connections stay as they are.
func NewListener(ln net.Listener) net.Listener { return listener{ln} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return conn{tcp}, nil
	}
	return c, err
}

// Read implements net.Conn. Once the deadline has passed it returns the bytes that have
// arrived, and fails only if there are none.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || len(p) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	arrived, readErr := c.readArrived(p)
	if errors.Is(readErr, syscall.EAGAIN) {
		return 0, err
	}
	return arrived, readErr
}

// readArrived reads without waiting. Its error wraps EAGAIN if nothing has arrived.
func (c conn) readArrived(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("reading what has arrived: %w", err)
	}
	// Unlike Read of the same interface, Control does not regard the deadline.
	controlErr := raw.Control(func(fd uintptr) {
		for {
			if n, err = syscall.Read(int(fd), p); !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
	switch {
	case controlErr != nil:
		return 0, fmt.Errorf("reading what has arrived: %w", controlErr)
	case err != nil:
		return 0, fmt.Errorf("reading what has arrived: %w", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
