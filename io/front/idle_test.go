package front

import (
	"errors"
	"net"
	"testing"
	"time"

	"chervilpath/core/memory"
)

// Guards against connections that are kept without a limit for callers that have gone silently, and
// against the end of one that reads slowly though there is room.
func TestOnlyIdleCallersAreEndedByTime(t *testing.T) {
	const maxIdle, size = 300 * time.Millisecond, 4 << 20
	for _, reads := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		caller, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if reads {
			go func() {
				part := make([]byte, 1<<20)
				for {
					if _, err := caller.Read(part); err != nil {
						return
					}
					time.Sleep(maxIdle / 10)
				}
			}()
		}
		w := newCallerWriter(conn, memory.NewWaiting(2*size))
		w.maxIdle = maxIdle
		start := time.Now()
		n, err := w.write(make([]byte, size))
		if reads && (n != size || err != nil) || !reads && !errors.Is(err, memory.ErrIdle) {
			t.Errorf("reads: %v: %d bytes after %v, error %v", reads, n, time.Since(start), err)
		}
		if used, _, _ := w.waiting.Used(); used != 0 {
			t.Errorf("reads: %v: %d bytes are left", reads, used)
		}
	}
}
