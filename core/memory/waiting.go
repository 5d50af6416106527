package memory

import (
	"errors"
	"sync"
	"time"
)

const (
	// readerBytes is what a slow reader takes besides the bytes that wait for it: up to half
	// of it in the buffers of its socket, the rest for its connection.
	readerBytes = 64 << 10

	// Readers that will have taken what waits for them within minBehind are not slow: a burst
	// is no reason to end one. Who finds no room then waits for at most maxRoomWait, which is
	// well below the seconds after which servers cut off an answer that is not read.
	minBehind   = 250 * time.Millisecond
	maxRoomWait = 500 * time.Millisecond
)

var (
	// ErrTooSlow is wrapped by the errors of readers that were ended to make room.
	ErrTooSlow = errors.New("the reader is the slowest and there is no more room for what waits to be read")

	// ErrIdle is wrapped by the errors of readers that were ended because they took nothing for
	// too long.
	ErrIdle = errors.New("the reader has taken nothing for too long")
)

type (
	// Waiting bounds the sum of the bytes that wait for slow readers. When there is no room
	// for more, the slowest reader is ended. Use NewWaiting to create one. It is safe for
	// concurrent use.
	Waiting struct {
		size int64

		mu      sync.Mutex
		used    int64
		readers map[*Reader]struct{}
		ended   int64
	}

	// Reader is one reader for which bytes may wait. Use NewReader to create one. Its fields
	// are guarded by the Waiting that it is given to.
	Reader struct {
		// end ends the reader. It must not block or call the Waiting.
		end   func()
		ended bool
		// bytes wait since the time since, and taken were taken from then until takenAt.
		bytes, taken   int64
		since, takenAt time.Time
	}

	// Verdict is what becomes of bytes that are to wait for a reader.
	Verdict uint8
)

const (
	// Held means that there is room for the bytes.
	Held Verdict = iota
	// NoRoom means that there is none at the moment and nobody is slow.
	NoRoom
	// Ended means that the reader has been ended.
	Ended
)

// NewWaiting returns a bound of size bytes.
func NewWaiting(size int64) *Waiting {
	return &Waiting{size: size, readers: make(map[*Reader]struct{})}
}

// NewReader returns a reader that end ends.
func NewReader(end func()) *Reader { return &Reader{end: end} }

// Hold asks for room for n bytes that are to wait for a reader. roomWait is how long it has asked
// already. Readers are ended until there is room, the slowest first, which may be r itself.
func (w *Waiting) Hold(now time.Time, r *Reader, n int64, roomWait time.Duration) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.ended {
		return Ended
	}
	need := n
	if r.bytes == 0 {
		need += readerBytes
	}
	if n > w.size-readerBytes {
		w.endReader(r)
		return Ended
	}
	for w.used+need > w.size {
		slowest, behind := w.slowest(now)
		if behind < minBehind && roomWait < maxRoomWait {
			return NoRoom
		}
		w.endReader(slowest)
		if slowest == r {
			return Ended
		}
	}
	if r.bytes == 0 {
		r.since, r.takenAt, r.taken = now, now, 0
		w.readers[r] = struct{}{}
	}
	r.bytes += n
	w.used += need
	return Held
}

// Take records that a reader has taken n of the bytes that wait for it.
func (w *Waiting) Take(now time.Time, r *Reader, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.ended || n == 0 {
		return
	}
	r.bytes -= n
	r.taken += n
	r.takenAt = now
	w.used -= n
	if r.bytes == 0 {
		w.used -= readerBytes
		delete(w.readers, r)
	}
}

// Drop gives up what waits for a reader. It gets nothing after that.
func (w *Waiting) Drop(r *Reader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remove(r)
	r.ended = true
}

// Used returns the bytes that are taken, Readers the number of readers for which bytes wait, and
// EndedReaders how many have been ended because they were the slowest.
func (w *Waiting) Used() (bytes int64, readers int, endedReaders int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used, len(w.readers), w.ended
}

// slowest returns the reader that is farthest behind, and how far.
func (w *Waiting) slowest(now time.Time) (slowest *Reader, behind time.Duration) {
	for r := range w.readers {
		if b := r.behind(now); slowest == nil || b > behind || b == behind && r.bytes > slowest.bytes {
			slowest, behind = r, b
		}
	}
	return slowest, behind
}

// behind returns how long the reader needs for what waits at the pace at which it has read since
// it began to wait, but at least the time for which it has taken nothing.
func (r *Reader) behind(now time.Time) time.Duration {
	idle := now.Sub(r.takenAt)
	if r.taken == 0 {
		// Nothing is known of its pace: one that has just begun to wait is not slow.
		return idle
	}
	return max(idle, time.Duration(float64(now.Sub(r.since))*float64(r.bytes)/float64(r.taken)))
}

func (w *Waiting) endReader(r *Reader) {
	w.remove(r)
	r.ended = true
	w.ended++
	r.end()
}

func (w *Waiting) remove(r *Reader) {
	if _, ok := w.readers[r]; !ok {
		return
	}
	delete(w.readers, r)
	w.used -= r.bytes + readerBytes
}
