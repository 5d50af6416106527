package front_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/memory"
	"chervilpath/core/relay"
	"chervilpath/io/front"
)

func newServer(t *testing.T, serve func(context.Context, relay.ResponseWriter) (bool, error)) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newFront(serve))
	t.Cleanup(server.Close)
	return server
}

func newFront(serve func(context.Context, relay.ResponseWriter) (bool, error)) *front.Server {
	return front.New(newDeps(serve))
}

func newDeps(serve func(context.Context, relay.ResponseWriter) (bool, error)) front.Deps {
	return front.Deps{
		Now: time.Now, RequestID: func(*http.Request) string { return "r" }, MaxBodyBytes: func() int64 { return 10 },
		ParseRequest: func(r *http.Request, _ []byte, _ time.Time) (*relay.Request, error) {
			return &relay.Request{ID: "r"}, nil
		},
		Serve: func(ctx context.Context, _ *relay.Request, w relay.ResponseWriter) (bool, error) {
			return serve(ctx, w)
		},
		SetRetryAfter:  func(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) },
		RequestAborted: func(string, error) {}, RequestFailed: func(string, *fault.Error, int) {}, RequestDone: func(string, time.Duration) {},
	}
}

// TestNotRunStatusRequiresProof guards against callers that retry a request which
// may have run: a status that promises that nothing ran is sent only if the error
// proves it.
func TestNotRunStatusRequiresProof(t *testing.T) {
	promisesNotRun := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, kind := range fault.Kinds() {
		for _, ran := range []fault.Ran{fault.RanNo, fault.RanUnknown, fault.RanYes} {
			server := newServer(t, func(context.Context, relay.ResponseWriter) (bool, error) {
				return false, fault.Errorf(kind, "a cause").WithRan(ran)
			})
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if promisesNotRun[resp.StatusCode] && ran != fault.RanNo {
				t.Errorf("%v with ran %v is answered with %d, which promises that nothing ran", kind, ran, resp.StatusCode)
			}
			if ran == fault.RanNo && resp.StatusCode >= 500 && !promisesNotRun[resp.StatusCode] {
				t.Errorf("%v, which did not run, is answered with %d, which does not promise it", kind, resp.StatusCode)
			}
		}
	}
}

func TestAbortedResponseIsNotComplete(t *testing.T) {
	server := newServer(t, func(_ context.Context, w relay.ResponseWriter) (bool, error) {
		w.WriteHeader(http.StatusOK, map[string][]string{"X-Own": {"1"}})
		if err := w.Write([]byte("a part")); err != nil {
			t.Error(err)
		}
		return true, errors.New("the server broke off")
	})
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the aborted response looks complete")
	}
}

func TestLargeBodyIsRefused(t *testing.T) {
	server := newServer(t, func(context.Context, relay.ResponseWriter) (bool, error) {
		t.Error("the request was served")
		return false, nil
	})
	resp, err := http.Post(server.URL, "", strings.NewReader("more than ten bytes"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", resp.StatusCode)
	}
}

// An error response that came after the instance had begun to drain left its connection
// open, so that the caller sent its next request on a connection about to be closed.
func TestErrorResponseClosesItsConnectionWhileDraining(t *testing.T) {
	var s *front.Server
	s = newFront(func(context.Context, relay.ResponseWriter) (bool, error) {
		s.DisableKeepAlives()
		return false, fault.Errorf(fault.EndpointFailed, "a cause")
	})
	server := httptest.NewServer(s)
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if !resp.Close {
		t.Error("the response does not say that its connection closes")
	}
}

// Guards against a process that runs out of memory: the bodies of large requests had no bound on
// their sum. One that finds no room in time is refused, with the time to return; small ones are
// served beside them.
func TestLargeBodyWithoutRoomIsRefused(t *testing.T) {
	const size = 1 << 20
	began, end := make(chan struct{}, 1), make(chan struct{})
	deps := newDeps(func(context.Context, relay.ResponseWriter) (bool, error) { return false, nil })
	deps.Bodies, deps.MaxBodyBytes = memory.New(size), func() int64 { return size }
	deps.ParseRequest = func(_ *http.Request, body []byte, _ time.Time) (*relay.Request, error) {
		return &relay.Request{ID: "r", Body: body}, nil
	}
	deps.Serve = func(_ context.Context, req *relay.Request, w relay.ResponseWriter) (bool, error) {
		if len(req.Body) == size {
			began <- struct{}{}
			<-end
		}
		w.Respond(http.StatusOK, nil, nil)
		return true, nil
	}
	server := httptest.NewServer(front.New(deps))
	defer server.Close()
	post := func(n int) *http.Response {
		resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", n)))
		if err != nil {
			t.Error(err)
			return &http.Response{}
		}
		_ = resp.Body.Close()
		return resp
	}
	var first sync.WaitGroup
	first.Go(func() {
		if resp := post(size); resp.StatusCode != http.StatusOK {
			t.Errorf("the first body: status %d", resp.StatusCode)
		}
	})
	<-began
	if resp := post(size); resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a body without room: status %d, header %v, want 429 and when to return", resp.StatusCode, resp.Header)
	}
	if resp := post(100); resp.StatusCode != http.StatusOK {
		t.Errorf("a small body: status %d", resp.StatusCode)
	}
	close(end)
	first.Wait()
	first.Go(func() {
		if resp := post(size); resp.StatusCode != http.StatusOK {
			t.Errorf("a body after the first request has ended: status %d", resp.StatusCode)
		}
	})
	first.Wait()
}
