package lines_test

import (
	"testing"
	"time"

	"chervilpath/io/lines"
)

// blocked never takes a line.
type blocked struct{ never chan struct{} }

func (b blocked) Write([]byte) (int, error) {
	<-b.never
	return 0, nil
}

func TestBlockedOutputStopsNothing(t *testing.T) {
	w := lines.New(blocked{make(chan struct{})})
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
		t.Fatal("a blocked output holds up the one who logs")
	}
	if w.Dropped() == 0 {
		t.Error("lines that did not fit are not counted")
	}
}

// A reader of the log that has stopped reading must not keep a process from
// ending in its grace time.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	w := lines.New(blocked{make(chan struct{})})
	_, _ = w.Write([]byte("line\n"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Close()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the end of the log waits for a blocked output")
	}
}

type buffer struct{ lines int }

func (b *buffer) Write([]byte) (int, error) {
	b.lines++
	return 0, nil
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out buffer
	w := lines.New(&out)
	for range 1000 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	if out.lines != 1000 {
		t.Errorf("%d of 1000 lines were written", out.lines)
	}
}
