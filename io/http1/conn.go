package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that is closed in both directions; see tcp(7).
const tcpClosed = 7

// conn is a connection to a server. Its reads fail where net/http would take a broken response for
// a sound one.
type conn struct {
	net.Conn

	// mu guards head.
	mu   sync.Mutex
	head headChecker

	// writing is held by a write in progress, and guards writeErr, the error of the first write
	// that failed.
	writing  sync.Mutex
	writeErr error
}

// NetConn returns the connection that a connection of a Transport checks, or c itself if it is
// another one.
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

// headError returns why the head of the present response is broken, or nil.
func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

// checkHead checks the bytes that have been read, and returns the headError.
func (c *conn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.check(p)
	return c.head.err
}

// Read implements net.Conn. It never returns the end of a line that is broken, so that net/http
// finds no end of a broken head. After that it fails without a wait for the server, since net/http
// may have taken the part before for a whole line.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
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

// endError returns io.EOF if the server has ended what it sends, and otherwise an error that wraps
// ErrCutOff. The system reports the failure of a connection once: if a write gets the error, a read
// returns what it returns at the server's end.
func (c *conn) endError() error {
	if !isClosed(c.Conn) {
		// The end is the server's, and a write in progress may wait for it for long.
		return io.EOF
	}
	// A write in progress is about to fail.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		// A reset after the server's end makes a write fail with EPIPE.
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrCutOff, c.writeErr)
}

// isClosed reports whether a connection is closed in both directions, as it is after a reset. It
// reports true if the state is not known, as for a connection that wraps another one and has no
// method NetConn.
func isClosed(c net.Conn) bool {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
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
	// Control fails once this process has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State == tcpClosed
		}
	})
	return closed
}
