package endpoint_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"chervilpath/io/endpoint"
)

// newCopyingEngine returns the URL of an engine that sends each answer on a connection a second time,
// once the next request has arrived there and before its own answer. The n-th request gets answer(n).
func newCopyingEngine(t *testing.T, answer func(n int, path string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		again := ""
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			own := answer(int(requests.Add(1)-1), req.URL.Path)
			if _, err := io.WriteString(conn, again+own); err != nil {
				return
			}
			again = own
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

func httpAnswer(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// Guards against a late copy of an earlier answer that is taken for the state of an engine, which
// then gets orders that it does not need, or for the answer to an order.
func TestCopiedAnswerIsNotTheAnswerToAQueryOrAnOrder(t *testing.T) {
	t.Parallel()
	const chat = `{"choices":[{"message":{"content":"text"},"finish_reason":"stop"}],"usage":{"completion_tokens":1}}`
	url := newCopyingEngine(t, func(n int, path string) string {
		switch {
		case strings.HasSuffix(path, "/state"):
			return httpAnswer(http.StatusOK, "", fmt.Sprintf(`{"fence":%d,"models":["m"]}`, n))
		case strings.HasSuffix(path, "/orders") && n%2 == 0:
			return httpAnswer(http.StatusConflict, "", "")
		case strings.HasSuffix(path, "/orders"):
			return httpAnswer(http.StatusOK, "", "")
		}
		return httpAnswer(http.StatusOK, "X-Request-Id: a1\r\n", chat)
	})
	c := endpoint.New(endpoint.NewTransport(), func(string, float64) {})
	a := newAttempt(t, "engine", url)
	for n := 0; n < 60; {
		if n%3 == 0 {
			// Its answer is named, but a copy of it has to stay out of what follows.
			if _, err := c.Call(t.Context(), a, func(string) {}); err != nil {
				t.Fatalf("request %d: %v", n, err)
			}
			n++
		}
		state, err := c.State(t.Context(), a.Endpoint)
		if err != nil || state.Fence != int64(n) || len(state.Models) != 1 {
			t.Fatalf("request %d: state %+v, error %v", n, state, err)
		}
		n++
		err = c.SendOrder(t.Context(), a.Endpoint, endpoint.Order{Fence: 1})
		if stale := errors.Is(err, endpoint.ErrStaleFence); stale != (n%2 == 0) || !stale && err != nil {
			t.Fatalf("request %d: order: %v", n, err)
		}
		n++
	}
}
