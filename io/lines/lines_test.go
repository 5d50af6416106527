package lines_test

import (
	"testing"
	"time"

	"chervilpath/io/lines"
)

// blockedWriter is an output whose writes never return.
type blockedWriter struct{ block chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	<-w.block
	return 0, nil
}

func TestWriteDoesNotBlock(t *testing.T) {
	w := lines.New(blockedWriter{make(chan struct{})})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	if w.Dropped() == 0 {
		t.Error("dropped lines are not counted")
	}
}

// TestCloseDoesNotWaitForBlockedOutput guards against a process that exceeds its
// grace time because the reader of its log has stopped reading.
func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	w := lines.New(blockedWriter{make(chan struct{})})
	_, _ = w.Write([]byte("line\n"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Close()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Close waits for a blocked output")
	}
}

type lineCounter struct{ count int }

func (w *lineCounter) Write([]byte) (int, error) {
	w.count++
	return 0, nil
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out lineCounter
	w := lines.New(&out)
	for range 1000 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	if out.count != 1000 {
		t.Errorf("%d lines were written, want 1000", out.count)
	}
}
