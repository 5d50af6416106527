// Package lines writes log lines without ever holding up the one who logs.
//
// It owns a bounded queue before a writer; what does not fit is dropped and
// counted. It must not look into the lines.
package lines

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the most lines that wait to be written.
	queueSize = 4096

	// closeTimeout bounds the wait for a reader of the log at the end of a
	// process, which a planned stop has to end in its grace time.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for another writer. Use New. It is safe for concurrent use.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer that writes to out in its own goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			// A log that cannot be written has nowhere to say so.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close ends the writer after the lines that wait, or when they cannot be
// written for closeTimeout. Nothing may be written after.
func (w *Writer) Close() {
	close(w.queue)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.done:
	case <-t.C:
	}
}
