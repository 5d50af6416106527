package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// Guards against a stream that is taken from its server, or broken off, because its caller
// reads nothing for a while: that time is not the server's.
func TestCallerThatReadsSlowlyKeepsItsServer(t *testing.T) {
	for _, pauseAt := range []int{1, 3} {
		for _, budget := range []bool{false, true} {
			t.Run(fmt.Sprintf("event %d, retry budget %v", pauseAt, budget), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { streamToSlowCaller(t, pauseAt, budget) })
			})
		}
	}
}

func streamToSlowCaller(t *testing.T, pauseAt int, budget bool) {
	table, err := route.New(1, []route.Route{{
		Name: "brief", Host: "h", Prefix: "/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, TargetLatency: time.Second, TargetGap: 300 * time.Millisecond,
		Timeout: 20 * time.Second, Public: true, Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1"}, {ID: "e-2", Service: "llm", Address: "b:1"}}, 1)
	const events = 10
	attempts, writes := 0, 0
	var out bytes.Buffer
	deps := newDeps(t.Context(), table, view)
	deps.AllowRetry = func(string) bool { return budget }
	deps.Place = func(_ context.Context, _ string, q engine.Query) (string, error) {
		if len(q.Exclude) > 0 {
			return "e-2", nil
		}
		return "e-1", nil
	}
	deps.Settle = func(_, _, server string, outcome balance.Outcome) {
		if outcome != balance.Succeeded {
			t.Errorf("the attempt at %s is settled as %v", server, outcome)
		}
	}
	deps.Send = func(ctx context.Context, a Attempt) (*Response, error) {
		attempts++
		// An empty ID is that of a stream that has not begun.
		last, _ := strconv.Atoi(a.LastEventID)
		return &Response{Status: http.StatusOK, EventStream: true, Body: steadyStream(ctx, last+1, events)}, nil
	}
	_, err = New(deps).Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/x", Timeout: 20 * time.Second, Arrived: time.Now()}, ResponseWriter{
		WriteHeader: func(int, map[string][]string) {},
		Write: func(p []byte) error {
			if writes++; writes == pauseAt {
				time.Sleep(2 * time.Second)
			}
			out.Write(p)
			return nil
		},
	})
	if n := strings.Count(out.String(), "data:"); err != nil || attempts != 1 || n != events {
		t.Errorf("%d of %d events in %d attempts, error %v", n, events, attempts, err)
	}
	synctest.Wait()
}

// steadyStream returns the body of a server that sends one of the events from first to
// last each 100 ms, whether it is read or not, until its request is cancelled.
func steadyStream(ctx context.Context, first, last int) io.ReadCloser {
	pieces := make(chan string, last)
	go func() {
		defer close(pieces)
		for i := first; i <= last; i++ {
			if awaitOrEnd(ctx, 100*time.Millisecond) != nil {
				return
			}
			pieces <- fmt.Sprintf("id: %d\ndata: x\n\n", i)
		}
	}()
	return &bufferedStream{ctx: ctx, pieces: pieces}
}

// bufferedStream is a body whose pieces wait to be read.
type bufferedStream struct {
	ctx    context.Context
	pieces chan string
}

func (s *bufferedStream) Read(p []byte) (int, error) {
	if err := s.ctx.Err(); err != nil {
		return 0, err
	}
	select {
	case piece, ok := <-s.pieces:
		if !ok {
			return 0, io.EOF
		}
		return copy(p, piece), nil
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
}

func (s *bufferedStream) Close() error { return nil }
