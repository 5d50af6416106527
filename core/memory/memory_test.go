package memory_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/memory"
)

// A message is read whole, whatever its size, the known length and the parts in which it comes.
func TestMessagesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.OneOf(rapid.IntRange(0, 10), rapid.IntRange(memory.SmallBytes-2, memory.SmallBytes+2), rapid.IntRange(0, 300_000)).Draw(t, "limit")
		size := rapid.OneOf(rapid.IntRange(0, 10), rapid.IntRange(memory.SmallBytes-2, memory.SmallBytes+2), rapid.IntRange(0, limit+2)).Draw(t, "size")
		length := int64(size)
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		pool := memory.New(rapid.Int64Range(1, 400_000).Draw(t, "pool"))
		got, reserved, err := pool.ReadAll(context.Background(), io.MultiReader(bytes.NewReader(want[:size/3]), bytes.NewReader(want[size/3:])), length, int64(limit), 0)
		if size > limit {
			if !errors.Is(err, memory.ErrTooLarge) {
				t.Fatalf("error %v, want ErrTooLarge", err)
			}
		} else if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("%d of %d bytes, error %v", len(got), size, err)
		}
		reserved.Release()
		reserved.Release()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := pool.Reserve(ctx, 1<<40); err != nil {
			t.Fatalf("the pool is not whole again: %v", err)
		}
	})
}

// Guards against a process that runs out of memory: the sum of large messages has a bound, and
// small ones are read beside them.
func TestLargeMessagesWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := memory.New(1 << 20)
		large := func(ctx context.Context) (memory.Reservation, error) {
			_, reserved, err := pool.ReadAll(ctx, strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20, 0)
			return reserved, err
		}
		first, err := large(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := large(ctx); !errors.Is(err, memory.ErrNoRoom) {
			t.Errorf("error %v, want ErrNoRoom", err)
		}
		if data, _, err := pool.ReadAll(t.Context(), strings.NewReader("small"), -1, 1<<20, 0); string(data) != "small" || err != nil {
			t.Errorf("a small message: %q, error %v", data, err)
		}
		time.AfterFunc(time.Second, first.Release)
		if _, err := large(t.Context()); err != nil {
			t.Errorf("after the first message was released: %v", err)
		}
	})
}

// A message that was read keeps room for its own size only.
func TestReadMessageKeepsItsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 100_000
		pool := memory.New(1 << 20)
		if _, _, err := pool.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", size)), -1, 1<<19, 0); err != nil {
			t.Fatal(err)
		}
		for n, want := range map[int64]error{1<<20 - size: nil, 1 << 20: memory.ErrNoRoom} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reserved, err := pool.Reserve(ctx, n)
			if !errors.Is(err, want) {
				t.Errorf("reserving %d bytes: error %v, want %v", n, err, want)
			}
			reserved.Release()
		}
	})
}

// slowReader yields a message in two parts, the second after a pause.
type slowReader struct {
	parts []string
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(p, r.parts[0])
	if r.parts[0] = r.parts[0][n:]; r.parts[0] == "" {
		r.parts = r.parts[1:]
	}
	return n, nil
}

// Guards against the refusal of a large message that arrives slowly: its time to arrive counted
// as time in which it waited for room.
func TestSlowMessageIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := memory.New(1 << 20)
		part := strings.Repeat("x", memory.SmallBytes)
		data, reserved, err := pool.ReadAll(t.Context(), &slowReader{[]string{part, part}, 2 * time.Second}, -1, 1<<20, time.Second)
		if err != nil || len(data) != 2*memory.SmallBytes {
			t.Fatalf("%d bytes, error %v", len(data), err)
		}
		if _, _, err := pool.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20, time.Second); !errors.Is(err, memory.ErrNoRoom) {
			t.Errorf("error %v without room, want ErrNoRoom", err)
		}
		reserved.Release()
	})
}
