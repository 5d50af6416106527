// Package lines writes log lines asynchronously, so that logging never blocks.
//
// It owns a bounded queue in front of a writer. Lines that do not fit into the
// queue are dropped and counted. The package must not interpret the lines.
package lines

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the maximum number of lines that wait to be written.
	queueSize = 4096

	// closeTimeout limits how long Close waits for the output, since a planned
	// shutdown of the process has to end within its grace time.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for another writer. Use New to create one. It is safe for
// concurrent use.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Writer that writes to out from its own goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			// There is nowhere to report a log that cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It drops the line if the queue is full and never
// blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close stops the writer once the queued lines are written, but waits no longer
// than closeTimeout. Write must not be called after it.
func (w *Writer) Close() {
	close(w.queue)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
