package upstream

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilpath/io/http1"
)

const (
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	unackedTimeout = 900 * time.Millisecond

	// closedWindowTimeout is the same for data that a server has no window for: its
	// machine answers, but it reads nothing.
	closedWindowTimeout = 4 * time.Second

	// A connection to which more than largeWriteBytes are written at once is checked
	// for a closed window each windowCheckInterval, which is well below
	// unackedTimeout, until all of it is acknowledged.
	largeWriteBytes     = 8 << 10
	windowCheckInterval = 300 * time.Millisecond

	// The kernel keeps up to twice unreadBytes that were received and not read, in place of up
	// to 32 MiB. Over 5 ms that allows 6 MB/s. It keeps unsentBytes that were not sent,
	// besides what is on its way, in place of up to 4 MiB.
	unreadBytes = 32 << 10
	unsentBytes = 64 << 10
)

type (
	// countingConn counts the bytes written to a connection, so that a send of
	// which nothing left the process can be recognised. It lets a server that reads
	// nothing for a while keep its connection.
	countingConn struct {
		net.Conn
		written atomic.Int64
		// checking is set while a check of the window is due.
		checking atomic.Bool
		// sendBefore is the time after which the next write fails, or nil.
		sendBefore atomic.Pointer[time.Time]
	}

	// sendState says what becomes of the data written to a connection.
	sendState uint8
)

const (
	// allAcked means that the peer has acknowledged all data.
	allAcked sendState = iota
	// sending means that data is on its way, or not acknowledged.
	sending
	// windowClosed means that the peer accepts no more data now.
	windowClosed
)

// errTooLateToSend means that nothing was written because the time for it was over.
var errTooLateToSend = errors.New("the permission to send has expired")

// SendBefore returns a context for a request of which nothing is sent after a time, on a
// connection of NewTransport: a process may be stopped, or wait for a connection, after it
// was permitted to send. It returns ctx itself for the zero time.
func SendBefore(ctx context.Context, at time.Time) context.Context {
	if at.IsZero() {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := http1.NetConn(info.Conn).(*countingConn); ok {
			c.sendBefore.Store(&at)
		}
	}})
}

var errNoTCPInfo = errors.New("the state of the connection is not available")

// NetConn returns the connection whose bytes are counted.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if at := c.sendBefore.Swap(nil); at != nil && time.Now().After(*at) {
		return 0, errTooLateToSend
	}
	if len(b) > largeWriteBytes {
		c.scheduleWindowCheck()
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *countingConn) scheduleWindowCheck() {
	if c.checking.CompareAndSwap(false, true) {
		time.AfterFunc(windowCheckInterval, c.checkWindow)
	}
}

// checkWindow sets the timeout for unacknowledged data. The kernel applies it to a
// closed window as well, although the peer acknowledges each probe of it.
func (c *countingConn) checkWindow() {
	c.checking.Store(false)
	state, err := c.sendState()
	if err != nil {
		// The connection is closed, or keeps unackedTimeout because the system does
		// not tell its state.
		return
	}
	timeout := unackedTimeout
	if state == windowClosed {
		timeout = closedWindowTimeout
	}
	if err := c.control(func(fd int) error { return setUserTimeout(fd, timeout) }); err != nil {
		// As above, the connection is closed.
		return
	}
	if state != allAcked {
		c.scheduleWindowCheck()
	}
}

func (c *countingConn) sendState() (sendState, error) {
	var info *unix.TCPInfo
	err := c.control(func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	switch {
	case err != nil:
		return allAcked, err
	case info.State == 0:
		return allAcked, errNoTCPInfo
	case info.Unacked == 0 && info.Notsent_bytes == 0:
		return allAcked, nil
	case info.Unacked == 0 || info.Snd_wnd == 0:
		return windowClosed, nil
	}
	return sending, nil
}

// control calls f with the descriptor of the connection.
func (c *countingConn) control(f func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoTCPInfo
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return controlFD(raw, f)
}

func controlFD(raw syscall.RawConn, f func(fd int) error) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) })
	return errors.Join(err, optErr)
}

// limitBuffers limits what the kernel keeps for a connection: bytes that were received and not read,
// and bytes that were written and not sent. They count as memory of the machine.
func limitBuffers(fd int) error {
	return errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBytes),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes))
}

// setUserTimeout sets how long sent data may stay unacknowledged; see tcp(7).
func setUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}
