package arrived_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"chervilpath/io/arrived"
)

// connect returns both ends of a connection, of which the first was accepted by a listener of
// the package.
func connect(t *testing.T) (accepted, far net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	if far, err = net.Dial("tcp", inner.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = arrived.NewListener(inner).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = accepted.Close(), far.Close() })
	return accepted, far
}

// Guards against connections that are closed as idle though a request has come: a process that
// stood still across the end of the idle time took the time for the truth.
func TestBytesThatCameInTimeAreReadAfterTheDeadline(t *testing.T) {
	c, far := connect(t)
	if _, err := io.WriteString(far, "request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4)
	for _, want := range []string{"requ", "est"} {
		if n, err := c.Read(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("read %q, error %v, want %q", buf[:n], err, want)
		}
	}
	if n, err := c.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want the deadline's", n, err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if n, err := c.Read(buf); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, error %v after the peer has closed, want io.EOF", n, err)
	}
}

func TestClosedConnectionIsNotRead(t *testing.T) {
	c, _ := connect(t)
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_ = c.Close()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want net.ErrClosed", err)
	}
}
