package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/engine"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
)

// drip is a body that yields its text in pieces, one for each pause, and after that
// a byte that belongs to no event, until it is closed.
type drip struct {
	ctx    context.Context
	pause  time.Duration
	pieces []string
}

func (d *drip) Read(p []byte) (int, error) {
	select {
	case <-time.After(d.pause):
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
	if len(d.pieces) == 0 {
		return copy(p, ":"), nil
	}
	n := copy(p, d.pieces[0])
	d.pieces = d.pieces[1:]
	return n, nil
}

func (d *drip) Close() error { return nil }

// serveStreams serves a resumable stream whose attempts get the given bodies, and
// returns what the caller received and the number of attempts.
func serveStreams(t *testing.T, bodies ...func(ctx context.Context) io.ReadCloser) (received string, attempts int, err error) {
	t.Helper()
	table, err := route.New(1, []route.Route{{
		Name: "brief", Host: "h", Prefix: "/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, TargetLatency: time.Second, TargetGap: 400 * time.Millisecond,
		Timeout: 20 * time.Second, Public: true, Targets: []route.Target{{Service: "llm", Weight: 1}},
	}}, []route.Service{{Name: "llm", Engine: &route.EngineConfig{Slots: 8}}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), []fleet.Server{{ID: "e-1", Service: "llm", Address: "a:1"}, {ID: "e-2", Service: "llm", Address: "b:1"}}, 1)
	var out bytes.Buffer
	deps := newDeps(t.Context(), table, view)
	deps.Place = func(_ context.Context, _ string, q engine.Query) (string, error) {
		if len(q.Exclude) > 0 {
			return "e-2", nil
		}
		return "e-1", nil
	}
	deps.Send = func(ctx context.Context, _ Attempt) (*Response, error) {
		attempts++
		return &Response{Status: http.StatusOK, EventStream: true, Body: bodies[attempts-1](ctx)}, nil
	}
	_, err = New(deps).Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/x", Timeout: 20 * time.Second, Arrived: time.Now()}, ResponseWriter{
		WriteHeader: func(int, map[string][]string) {},
		Write:       func(p []byte) error { out.Write(p); return nil },
	})
	return out.String(), attempts, err
}

// A stream whose server sends a byte now and then but completes no event is ended and
// goes on at another server.
func TestStreamWithoutProgressGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		received, attempts, err := serveStreams(t,
			func(ctx context.Context) io.ReadCloser {
				return &drip{ctx: ctx, pause: 300 * time.Millisecond, pieces: []string{"id: 1\ndata: a\n\n"}}
			},
			func(context.Context) io.ReadCloser {
				return io.NopCloser(bytes.NewBufferString("id: 2\ndata: b\n\n"))
			})
		if err != nil || attempts != 2 || received != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Errorf("received %q in %d attempts, error %v", received, attempts, err)
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("the stream without progress was ended after %v", took)
		}
	})
}

// A slow but sound stream, whose events come within the stall timeout in small pieces,
// is not cut.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := io.NopCloser(nil)
		received, attempts, err := serveStreams(t, func(ctx context.Context) io.ReadCloser {
			body = struct {
				io.Reader
				io.Closer
			}{io.LimitReader(&drip{ctx: ctx, pause: 300 * time.Millisecond, pieces: []string{"id: 1\n", "data: a\n", "\n", "id: 2\n", "data: b\n", "\n"}}, 30), io.NopCloser(nil)}
			return body
		})
		if err != nil || attempts != 1 || received != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Errorf("received %q in %d attempts, error %v", received, attempts, err)
		}
	})
}
