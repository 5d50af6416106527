package memory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/memory"
)

var start = time.Unix(1_000_000, 0)

const kib = 1 << 10

// newReader returns a reader and whether it has been ended.
func newReader() (*memory.Reader, *bool) {
	ended := new(bool)
	return memory.NewReader(func() { *ended = true }), ended
}

// Guards against quick callers that pay for slow ones: the one that is farthest behind is ended,
// and one that reads at its usual pace keeps its answer though it has more bytes waiting.
func TestSlowestReaderIsEndedFirst(t *testing.T) {
	w := memory.NewWaiting(1024 * kib)
	quick, quickEnded := newReader()
	slow, slowEnded := newReader()
	stopped, stoppedEnded := newReader()
	for r, n := range map[*memory.Reader]int64{quick: 400 * kib, slow: 200 * kib, stopped: 100 * kib} {
		if got := w.Hold(start, r, n, 0); got != memory.Held {
			t.Fatalf("verdict %v", got)
		}
	}
	now := start.Add(2 * time.Second)
	w.Take(now, quick, 300*kib)
	w.Take(now, slow, 20*kib)
	newcomer, _ := newReader()
	// 100 + 180 + 100 KiB wait and three readers take 64 KiB each.
	for _, tt := range []struct {
		n                    int64
		quick, slow, stopped bool
	}{{300 * kib, false, false, false}, {200 * kib, false, true, false}, {200 * kib, false, true, true}} {
		if got := w.Hold(now, newcomer, tt.n, 0); got != memory.Held {
			t.Fatalf("verdict %v", got)
		}
		if *quickEnded != tt.quick || *slowEnded != tt.slow || *stoppedEnded != tt.stopped {
			t.Errorf("after %d KiB: quick, slow and stopped ended: %v, %v, %v, want %v, %v, %v", tt.n/kib, *quickEnded, *slowEnded, *stoppedEnded, tt.quick, tt.slow, tt.stopped)
		}
	}
}

// Guards against callers that are ended because of a burst: while nobody is slow a writer waits,
// for a time that servers bear.
func TestBurstEndsNobodyAtOnce(t *testing.T) {
	w := memory.NewWaiting(256 * kib)
	first, firstEnded := newReader()
	second, _ := newReader()
	w.Hold(start, first, 150*kib, 0)
	now := start.Add(100 * time.Millisecond)
	if got := w.Hold(now, second, 100*kib, 0); got != memory.NoRoom || *firstEnded {
		t.Fatalf("verdict %v, the first ended: %v", got, *firstEnded)
	}
	w.Take(now, first, 150*kib)
	if got := w.Hold(now, second, 100*kib, 0); got != memory.Held {
		t.Errorf("verdict %v once the first has read", got)
	}
	if got := w.Hold(now, first, 100*kib, time.Second); got != memory.Held {
		t.Errorf("verdict %v after a second", got)
	}
}

// Guards against a reader that was ended and is given more bytes, and one whose answer can never
// have room.
func TestEndedReaderGetsNothing(t *testing.T) {
	w := memory.NewWaiting(100 * kib)
	r, ended := newReader()
	if got := w.Hold(start, r, 200*kib, 0); got != memory.Ended || !*ended {
		t.Errorf("verdict %v", got)
	}
	if got := w.Hold(start, r, 1, 0); got != memory.Ended {
		t.Errorf("verdict %v after its end", got)
	}
	w.Take(start, r, 1)
	dropped, droppedEnded := newReader()
	w.Hold(start, dropped, kib, 0)
	w.Drop(dropped)
	if used, readers, n := w.Used(); used != 0 || readers != 0 || n != 1 || *droppedEnded {
		t.Errorf("%d bytes of %d readers, %d ended", used, readers, n)
	}
}

// At random: the sum is never over the bound, is that of the readers, only a reader that is behind
// the most is ended, and one that always has read everything never is.
func TestWaitingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(200*kib, 4096*kib).Draw(t, "size")
		w := memory.NewWaiting(size)
		now := start
		readers := make([]*memory.Reader, 12)
		held := make(map[*memory.Reader]int64)
		for i := range readers {
			readers[i] = memory.NewReader(func() {
				if i == 0 {
					t.Fatal("a reader that reads everything at once was ended")
				}
				delete(held, readers[i])
			})
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			n := rapid.Int64Range(1, size/4).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "take") {
				n = min(n, held[r])
				w.Take(now, r, n)
				if held[r] -= n; held[r] <= 0 {
					delete(held, r)
				}
			} else if w.Hold(now, r, n, time.Duration(rapid.IntRange(0, 1000).Draw(t, "waited"))*time.Millisecond) == memory.Held {
				held[r] += n
				if r == readers[0] {
					w.Take(now, r, n)
					delete(held, r)
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			used, count, _ := w.Used()
			if used > size || used < sum || count != len(held) {
				t.Fatalf("%d bytes of %d are taken by %d readers, want at least %d by %d", used, size, count, sum, len(held))
			}
		}
		for _, r := range readers {
			w.Drop(r)
		}
		if used, _, _ := w.Used(); used != 0 {
			t.Fatalf("%d bytes are left", used)
		}
	})
}

// BenchmarkHold measures the decision whom to end among 250 slow readers, which is as many as the
// smallest machine has room for.
func BenchmarkHold(b *testing.B) {
	w := memory.NewWaiting(250 * 72 * kib)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.Hold(start.Add(time.Duration(i)*time.Millisecond), memory.NewReader(func() {}), 8*kib, time.Second)
	}
}
