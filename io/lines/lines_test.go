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
