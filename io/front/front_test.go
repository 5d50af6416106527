package front_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilpath/core/fault"
	"chervilpath/core/relay"
	"chervilpath/io/front"
)

func serve(t *testing.T, f func(context.Context, relay.ResponseWriter) (bool, error)) *httptest.Server {
	t.Helper()
	s := front.New(front.Deps{
		Now: time.Now, MaxBody: func() int64 { return 10 },
		Read: func(r *http.Request, _ []byte, _ time.Time) (*relay.Request, error) {
			return &relay.Request{ID: "r"}, nil
		},
		Serve: func(ctx context.Context, _ *relay.Request, caller relay.ResponseWriter) (bool, error) {
			return f(ctx, caller)
		},
		Refuse: func(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) },
		Failed: func(string, *fault.Error, int) {}, Done: func(string, time.Duration) {},
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server
}

// A status that promises that nothing ran is given with that proof only.
func TestPromisesNeedProof(t *testing.T) {
	promise := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, kind := range fault.Kinds() {
		for _, ran := range []fault.Ran{fault.RanNo, fault.RanUnknown, fault.RanYes} {
			server := serve(t, func(context.Context, relay.ResponseWriter) (bool, error) {
				return false, fault.Errorf(kind, "a cause").WithRan(ran)
			})
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if promise[resp.StatusCode] && ran != fault.RanNo {
				t.Errorf("%v with ran %v is answered with %d", kind, ran, resp.StatusCode)
			}
			if ran == fault.RanNo && resp.StatusCode >= 500 && !promise[resp.StatusCode] {
				t.Errorf("%v, which did not run, is answered with %d, which promises nothing", kind, resp.StatusCode)
			}
		}
	}
}

func TestAnswerThatBreaksOffDoesNotLookWhole(t *testing.T) {
	server := serve(t, func(_ context.Context, c relay.ResponseWriter) (bool, error) {
		c.WriteHeader(http.StatusOK, map[string][]string{"X-Own": {"1"}})
		if err := c.Write([]byte("a part")); err != nil {
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
		t.Error("the answer ends as if it were whole")
	}
}

func TestLargeBodyIsRefusedUnread(t *testing.T) {
	server := serve(t, func(context.Context, relay.ResponseWriter) (bool, error) {
		t.Error("the request was served")
		return false, nil
	})
	resp, err := http.Post(server.URL, "", strings.NewReader("more than ten bytes"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
}
