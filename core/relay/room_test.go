package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/memory"
	"chervilpath/core/route"
)

// endlessBody yields bytes without a line end, one less than the limit of an answer, and is
// then silent until ctx ends.
type endlessBody struct {
	ctx  context.Context
	left int
	// read counts the bytes of all bodies.
	read *atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	b.read.Add(int64(n))
	return n, nil
}

func (*endlessBody) Close() error { return nil }

// Guards against a process that runs out of memory: answers and events without end each had a
// bound, and their sum had none. Sound requests are served beside them.
func TestSumOfEndlessAnswersIsBounded(t *testing.T) {
	for _, contentType := range []string{"answer", "events"} {
		run(t, contentType, func(t *testing.T) {
			const numRequests, room = 40, 4 << 20
			var read atomic.Int64
			send := func(ctx context.Context, a Attempt) (*Response, error) {
				if strings.HasPrefix(a.Request.ID, "sound") {
					text := "answer"
					if contentType == "events" {
						text = "id: 1\ndata: x\n\n"
					}
					return &Response{Status: http.StatusOK, EventStream: contentType == "events", Body: io.NopCloser(strings.NewReader(text))}, nil
				}
				return &Response{Status: http.StatusOK, EventStream: contentType == "events", Body: &endlessBody{ctx, maxBufferedBytes - 1, &read}}, nil
			}
			var r *Relay
			if contentType == "events" {
				rig := newPromiseRig(t, route.Route{Kind: route.Streaming})
				rig.deps.Answers, rig.deps.Send = memory.New(room), send
				r = New(rig.deps)
			} else {
				p := newPlainService(t, route.NonIdempotent, 20)
				p.relay.deps.Answers, p.send = memory.New(room), send
				r = p.relay
			}
			serve := func(id string) error {
				_, err := r.Serve(t.Context(), &Request{ID: id, Host: "h", Path: "/x", Timeout: 3 * time.Second, Arrived: time.Now()}, ResponseWriter{
					Respond: func(int, map[string][]string, []byte) {}, WriteHeader: func(int, map[string][]string) {}, Write: func([]byte) error { return nil },
				})
				return err
			}
			var wg sync.WaitGroup
			for range numRequests {
				wg.Go(func() {
					if err := serve("endless"); err == nil {
						t.Error("an answer without end is complete")
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			if got, most := read.Load(), int64(room+numRequests*2*memory.SmallBytes); got > most {
				t.Errorf("%d bytes are buffered, want at most %d", got, most)
			}
			if err := serve("sound"); err != nil {
				t.Errorf("a sound request beside them: %v", err)
			}
			wg.Wait()
			if reserved, err := r.deps.Answers.Reserve(t.Context(), room); err != nil {
				t.Errorf("the room is not free again: %v", err)
			} else {
				reserved.Release()
			}
		})
	}
}
