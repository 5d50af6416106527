package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilpath/core/memory"
)

const (
	// unsentBytes is how many bytes that have not been sent yet the kernel keeps for a caller.
	// Without it, it keeps up to 4 MiB for each caller that reads nothing.
	unsentBytes = 32 << 10

	// unreadBytes is how many bytes of a caller the kernel keeps until they are read. It would
	// keep several MiB of a body that waits for room.
	unreadBytes = 128 << 10

	// blockBytes is the least size of a block of bytes that wait for a caller.
	blockBytes = 4 << 10

	// writeBytes is how much is written at once to a slow caller, and maxIdleWrite how long one
	// may take nothing at all.
	writeBytes   = 32 << 10
	maxIdleWrite = time.Minute

	// roomInterval is the time between two tries to find room.
	roomInterval = 20 * time.Millisecond
)

// callerWriter writes to the connection of a caller. What the kernel accepts at once is neither
// copied nor passed to another goroutine. The rest waits in the process, as far as a
// memory.Waiting has room for it: a write waits for the caller, unless the answer is a stream,
// whose server is to be read on.
type callerWriter struct {
	conn    net.Conn
	waiting *memory.Waiting
	reader  *memory.Reader
	// maxIdle is how long the caller may take nothing at all.
	maxIdle time.Duration
	// raw is nil if the connection has no descriptor.
	raw syscall.RawConn

	// writeMu is held by writes and guards the fields down to held. All but that are those of a
	// write that does not wait, which allocates nothing that way.
	writeMu  sync.Mutex
	chunk    []byte
	accepted int
	writeErr error
	tryFunc  func(fd uintptr) bool
	// held is the room for bytes that are written next.
	held int64

	mu sync.Mutex
	// streaming is set while writes do not wait for the caller.
	streaming bool
	// blocks are the bytes that wait for the caller, and draining is set while a goroutine
	// writes them. drained is closed at its end.
	blocks   [][]byte
	draining bool
	drained  chan struct{}
	err      error
}

func newCallerWriter(conn net.Conn, waiting *memory.Waiting) *callerWriter {
	w := &callerWriter{conn: conn, waiting: waiting, maxIdle: maxIdleWrite}
	if waiting == nil {
		return w
	}
	w.reader = memory.NewReader(func() { go w.fail(memory.ErrTooSlow) })
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		// The connection is closed, which the first read shows.
		return w
	}
	// An error means that the system does not know the option, or that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unreadBytes)
	})
	w.raw, w.tryFunc = raw, w.try
	return w
}

// fail ends the connection at once. The kernel drops what it keeps for it, and the caller sees a
// reset in place of an end.
func (w *callerWriter) fail(err error) {
	w.mu.Lock()
	if w.err == nil {
		w.err = err
	}
	w.blocks = nil
	w.mu.Unlock()
	w.waiting.Drop(w.reader)
	if c, ok := w.conn.(interface{ SetLinger(int) error }); ok {
		// An error means that the connection is closed.
		_ = c.SetLinger(0)
	}
	_ = w.conn.Close()
}

// close gives up the room that a request has left, which it only has if serving it panicked.
func (w *callerWriter) close() {
	if w.waiting != nil {
		w.waiting.Drop(w.reader)
	}
}

// failure returns why the connection was ended, or nil.
func (w *callerWriter) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// write writes p, or has it wait for the caller.
func (w *callerWriter) write(p []byte) (int, error) {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	if w.raw == nil {
		// The kernel knows nothing of the connection, or nothing may wait.
		return w.conn.Write(p)
	}
	w.mu.Lock()
	queue, err := w.draining, w.err
	w.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n := 0
	if !queue {
		n, err = w.writeNow(p)
		if taken := min(int64(n), w.held); taken > 0 {
			w.held -= taken
			w.waiting.Take(time.Now(), w.reader, taken)
		}
		if err != nil || n == len(p) {
			return n, err
		}
	}
	if err := w.keep(p[n:]); err != nil {
		return n, err
	}
	return len(p), nil
}

// writeNow writes what the kernel accepts without a wait. The caller holds writeMu.
func (w *callerWriter) writeNow(p []byte) (int, error) {
	w.chunk, w.accepted, w.writeErr = p, 0, nil
	err := w.raw.Write(w.tryFunc)
	w.chunk = nil
	return w.accepted, errors.Join(err, w.writeErr)
}

func (w *callerWriter) try(fd uintptr) bool {
	for w.accepted < len(w.chunk) {
		n, err := syscall.Write(int(fd), w.chunk[w.accepted:])
		switch {
		case n > 0:
			w.accepted += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return true
		default:
			w.writeErr = os.NewSyscallError("write", err)
			return true
		}
	}
	return true
}

// keep keeps p for the caller, or waits until the caller has taken it.
func (w *callerWriter) keep(p []byte) error {
	w.mu.Lock()
	streaming, draining := w.streaming, w.draining
	w.mu.Unlock()
	if streaming {
		return w.queue(p)
	}
	if draining {
		if err := w.flush(); err != nil {
			return err
		}
	}
	missing := int64(len(p)) - w.held
	w.held = max(0, -missing)
	if missing > 0 {
		if err := w.hold(missing); err != nil {
			return err
		}
	}
	return w.writeSlowly(p)
}

// reserve waits until there is room for n bytes that are written next.
func (w *callerWriter) reserve(n int) {
	if w == nil || w.raw == nil || n <= memory.SmallBytes {
		return
	}
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	if w.hold(int64(n)) == nil {
		w.held = int64(n)
	}
}

// hold waits until there is room for n bytes.
func (w *callerWriter) hold(n int64) error {
	start := time.Now()
	for {
		now := time.Now()
		switch w.waiting.Hold(now, w.reader, n, now.Sub(start)) {
		case memory.Held:
			return nil
		case memory.Ended:
			w.fail(memory.ErrTooSlow)
			return w.failure()
		}
		time.Sleep(roomInterval)
	}
}

// queue appends p to what waits for the caller.
func (w *callerWriter) queue(p []byte) error {
	w.mu.Lock()
	if last := len(w.blocks) - 1; last >= 0 {
		b := w.blocks[last]
		n := min(len(p), cap(b)-len(b))
		w.blocks[last], p = append(b, p[:n]...), p[n:]
	}
	w.mu.Unlock()
	if len(p) == 0 {
		return nil
	}
	block := make([]byte, 0, max(blockBytes, len(p)))
	if err := w.hold(int64(cap(block))); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return w.err
	}
	w.blocks = append(w.blocks, append(block, p...))
	if !w.draining {
		w.draining, w.drained = true, make(chan struct{})
		go w.drain()
	}
	return nil
}

// drain writes the blocks until none is left.
func (w *callerWriter) drain() {
	for {
		w.mu.Lock()
		if len(w.blocks) == 0 || w.err != nil {
			w.draining = false
			close(w.drained)
			w.mu.Unlock()
			return
		}
		b := w.blocks[0]
		w.blocks[0] = nil
		w.blocks = w.blocks[1:]
		w.mu.Unlock()
		if w.writeSlowly(b) != nil {
			// The loop ends, since the error is kept.
			continue
		}
		w.waiting.Take(time.Now(), w.reader, int64(cap(b)-len(b)))
	}
}

// writeSlowly writes bytes for which there is room, for as long as the caller takes some.
func (w *callerWriter) writeSlowly(p []byte) error {
	for len(p) > 0 {
		// An error means that the connection is closed, which the write shows.
		_ = w.conn.SetWriteDeadline(time.Now().Add(w.maxIdle))
		n, err := w.conn.Write(p[:min(len(p), writeBytes)])
		p = p[n:]
		w.waiting.Take(time.Now(), w.reader, int64(n))
		switch {
		case err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, os.ErrDeadlineExceeded):
			w.fail(memory.ErrIdle)
			return w.failure()
		default:
			w.fail(fmt.Errorf("writing to the caller: %w", err))
			return w.failure()
		}
	}
	_ = w.conn.SetWriteDeadline(time.Time{})
	return nil
}

// stream sets whether writes do not wait for the caller.
func (w *callerWriter) stream(on bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming = on
}

// slowness returns the error if the connection was ended because its caller is slow.
func (w *callerWriter) slowness() error {
	if err := w.failure(); errors.Is(err, memory.ErrTooSlow) || errors.Is(err, memory.ErrIdle) {
		return err
	}
	return nil
}

// flush waits until the caller has taken what waits for it.
func (w *callerWriter) flush() error {
	for {
		w.mu.Lock()
		draining, drained, err := w.draining, w.drained, w.err
		w.mu.Unlock()
		if !draining {
			return err
		}
		<-drained
	}
}

// finish ends a stream, if there is one, and returns the error if the connection was ended because
// its caller is slow.
func (w *callerWriter) finish() error {
	if w == nil || w.raw == nil {
		return nil
	}
	// The error is kept.
	_ = w.flush()
	w.stream(false)
	w.writeMu.Lock()
	w.waiting.Take(time.Now(), w.reader, w.held)
	w.held = 0
	w.writeMu.Unlock()
	return w.slowness()
}

type writerKey struct{}

// ConnContext is an http.Server.ConnContext. It lets a Server know the connection of a request.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*callerConn); ok && c.writer != nil {
		return context.WithValue(ctx, writerKey{}, c.writer)
	}
	return ctx
}

// writerOf returns the writer of a request's connection, or nil.
func writerOf(r *http.Request) *callerWriter {
	w, _ := r.Context().Value(writerKey{}).(*callerWriter)
	return w
}
