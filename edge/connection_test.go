package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// connection is one connection of a caller to an instance.
type connection struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func (s *testSite) connect(i int) *connection {
	s.t.Helper()
	c, err := net.Dial("tcp", s.instances[i].callerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &connection{t: s.t, TCPConn: c.(*net.TCPConn), reader: bufio.NewReader(c)}
}

func (c *connection) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Errorf("sending: %v", err)
	}
}

// response reads a response.
func (c *connection) response() response {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// requestHead returns the head of a request without the blank line that ends it.
func requestHead(target, id, extra string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 10000\r\nAuthorization: Bearer %s\r\n%s",
		target, routeHost, stand.HeaderRequestID, id, stand.HeaderDeadline, apiKey, extra)
}

// withLimits returns a configuration with the given limits for callers.
func withLimits(config, limits map[string]any) map[string]any {
	config["limits"] = limits
	return config
}

// Failure: a caller within the limits of the configuration gets no answer or is denied,
// since the instance has limits of its own that are tighter.
func TestCallersMayUseTheLimitsOfTheConfiguration(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	config := func(version int, limits map[string]any) map[string]any {
		return withLimits(configSpec(version, apiKeys, routeSpec("book", "non_idempotent", "desk", map[string]any{"timeoutMs": 20000})), limits)
	}
	s := newTestSite(t, 1, config(1, map[string]any{"maxHeaderBytes": 8000, "maxBodyBytes": 1000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000}), server)
	s.store.Put("config", "main", config(2, map[string]any{"maxHeaderBytes": 60000, "maxBodyBytes": 6 << 20, "headerTimeoutMs": 6500, "idleTimeoutMs": 15000}))
	s.eventually("the second version", func() bool { return s.counter("chervilpath_configuration_version") == 2 })
	t.Run("header time", func(t *testing.T) {
		t.Parallel()
		c := s.connect(0)
		head := requestHead("/book/1", "slow", "Content-Length: 0\r\n")
		c.send(head[:20])
		time.Sleep(6 * time.Second)
		c.send(head[20:] + "\r\n")
		if got := c.response(); got.status != http.StatusOK {
			t.Errorf("header within 6 of 6.5 s: %+v", got)
		}
	})
	t.Run("header size", func(t *testing.T) {
		t.Parallel()
		c := s.connect(0)
		c.send(requestHead("/book/1", "large-head", "X-Large: "+strings.Repeat("x", 50000)+"\r\nContent-Length: 0\r\n") + "\r\n")
		if got := c.response(); got.status != http.StatusOK {
			t.Errorf("header of 50,000 of 60,000 bytes: %+v", got)
		}
	})
	t.Run("body size", func(t *testing.T) {
		t.Parallel()
		c := s.connect(0)
		body := strings.Repeat("x", 5<<20)
		c.send(requestHead("/book/1", "large-body", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + "\r\n" + body)
		if got := c.response(); got.status != http.StatusOK {
			t.Errorf("body of 5 of 6 MiB: %+v", got)
		}
	})
}

// Failure: a body whose reading ends under another version than it began gets neither an
// answer nor a refusal, or reaches the server changed.
func TestBodiesAcrossVersionsAreAnswered(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	limits := func(version, maxBody int) map[string]any {
		return withLimits(configSpec(version, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)),
			map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	}
	s := newTestSite(t, 1, limits(1, 4000), server)
	half := strings.Repeat("x", 1500)
	tests := []struct {
		name, extra, first, second string
		// body is what the server has to receive if the request is served.
		body string
		// expects is set if the caller waits for the status 100.
		expects bool
	}{
		{name: "length", extra: "Content-Length: 3000\r\n", first: half, second: half, body: half + half},
		{name: "chunks", extra: "Transfer-Encoding: chunked\r\n", first: "5dc\r\n" + half + "\r\n", second: "5dc\r\n" + half + "\r\n0\r\n\r\n", body: half + half},
		{name: "trailers", extra: "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", first: "5dc\r\n" + half + "\r\n", second: "0\r\nX-Sum: 1\r\n\r\n", body: half},
		{name: "empty chunks", extra: "Transfer-Encoding: chunked\r\n", second: "0\r\n\r\n"},
		{name: "empty", extra: "Content-Length: 0\r\n"},
		{name: "expects", extra: "Content-Length: 3000\r\nExpect: 100-continue\r\n", first: half, second: half, body: half + half, expects: true},
		{name: "expects chunks", extra: "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", first: "5dc\r\n" + half + "\r\n", second: "0\r\n\r\n", body: half, expects: true},
	}
	version, before := 1, 4000
	for _, maxBody := range []int{8000, 100, 5000, 4000} {
		type sent struct {
			*connection
			id, second string
		}
		var waiting []sent
		for _, tt := range tests {
			c, id := s.connect(0), fmt.Sprintf("%s-%d", strings.ReplaceAll(tt.name, " ", "-"), maxBody)
			c.send(requestHead("/book/1", id, tt.extra) + "\r\n")
			if tt.expects {
				line, err := c.reader.ReadString('\n')
				if _, lastErr := c.reader.ReadString('\n'); err != nil || lastErr != nil || !strings.Contains(line, "100") {
					t.Fatalf("%s: %q, %v; want the status 100", id, line, err)
				}
			}
			c.send(tt.first)
			waiting = append(waiting, sent{c, id, tt.second})
		}
		version++
		s.store.Put("config", "main", limits(version, maxBody))
		s.eventually("the next version", func() bool { return s.counter("chervilpath_configuration_version") == float64(version) })
		for i, w := range waiting {
			_, _ = io.WriteString(w, w.second)
			got := w.response()
			switch {
			case got.status == http.StatusOK:
				if body := received(server, w.id); body != tests[i].body {
					t.Errorf("%s: the server received %d bytes, want %d", w.id, len(body), len(tests[i].body))
				}
			case got.status != http.StatusRequestEntityTooLarge || min(before, maxBody) > len(half+half):
				t.Errorf("%s: %+v, want an answer or, under a limit of 100 bytes, a refusal", w.id, got)
			}
		}
		before = maxBody
	}
}

// received returns the body of a request that reached a server.
func received(server *stand.Server, id string) string {
	requests, bodies := server.Requests()
	for i, r := range requests {
		if r.Header.Get(stand.HeaderRequestID) == id {
			return bodies[i]
		}
	}
	return "none"
}

// Failure: a caller that ends its sending direction after a whole request gets neither
// an answer nor a refusal, or its request goes on as if it still waited.
func TestCallerThatSendsNoMoreGetsAFailure(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	ended := make(chan struct{})
	server.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		close(ended)
		return true
	}
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), server)
	c := s.connect(0)
	c.send(requestHead("/book/1", "half-closed", "Content-Length: 0\r\n") + "\r\n")
	s.eventually("the request at the server", func() bool { requests, _ := server.Requests(); return len(requests) == 1 })
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got := c.response(); got.status != http.StatusBadGateway {
		t.Errorf("%+v, want status 502, which promises nothing", got)
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server is still at work half a second later")
	}
}

// Failure: a caller that sends its next request before it has the answer gets none.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	server := stand.NewServer("i-1", "desk", "a")
	server.WorkTime = 50 * time.Millisecond
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), server)
	c := s.connect(0)
	text := ""
	for i := range 3 {
		text += requestHead("/book/1", fmt.Sprint("r-", i), "Content-Length: 2\r\n") + "\r\nab"
	}
	c.send(text)
	for i := range 3 {
		if got := c.response(); got.status != http.StatusOK || got.body != fmt.Sprint("answer to r-", i) {
			t.Errorf("answer %d: %+v", i, got)
		}
	}
}
