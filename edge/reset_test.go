package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilpath/io/standin"
	"chervilpath/platform/stand"
)

// uploadBytes is more than two sockets hold, so that an upload whose server reads nothing is still
// being written.
const uploadBytes = 8 << 20

// earlyServer answers each request before it has read the body, with two events and no length, and
// then ends the connection.
type earlyServer struct {
	address string
	// pause is the time after the head and after each event, and end ends a connection.
	pause time.Duration
	end   func(*net.TCPConn)

	mu   sync.Mutex
	runs map[string]int
}

func newEarlyServer(t *testing.T, pause time.Duration, end func(*net.TCPConn)) *earlyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &earlyServer{address: l.Addr().String(), pause: pause, end: end, runs: make(map[string]int)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

func (s *earlyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	id := stand.RequestID(req)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n", stand.HeaderRequestID, id, stand.HeaderServerStamp, eventStream)
	for _, part := range []string{head, firstEvent, secondEvent} {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(s.pause)
	}
	s.end(conn)
}

func (s *earlyServer) numRuns(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// newUploadSite returns a site that takes large bodies and has one server, of the given service.
func newUploadSite(t *testing.T, service string, server *earlyServer) *testSite {
	t.Helper()
	config := withLimits(configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil), routeSpec("draft", "streaming", "llm", nil)),
		map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 2 * uploadBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	return startSiteWith(t, config, map[string]string{service: server.address})
}

// Guards against a part of a server's answer that reaches the caller as a complete one: the answer has
// no length, and its connection is reset while the request is still being written to the server, before
// or after the part has been read.
func TestAnswerThatIsResetBesideItsUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	for service, target := range map[string]string{"desk": "/book/1", "llm": "/draft/1"} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprint(service, " ", pause), func(t *testing.T) {
				t.Parallel()
				body := strings.Repeat("x", uploadBytes)
				reached := 0
				// A server that has failed a few times gets no requests for a while.
				for site := range 8 {
					server := newEarlyServer(t, pause, func(conn *net.TCPConn) { standin.Reset(conn) })
					s := newUploadSite(t, service, server)
					for i := range 5 {
						id := fmt.Sprint("r-", site, "-", i)
						got := s.send(t.Context(), 0, http.MethodPost, target, id, nil, body)
						runs := server.numRuns(id)
						reached += runs
						if got.err == nil && got.status == http.StatusOK {
							t.Errorf("%s: the answer %q was complete", id, got.body)
						}
						if runs > 1 || runs == 1 && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
							t.Errorf("%s: status %d after %d runs", id, got.status, runs)
						}
					}
				}
				if reached < 16 {
					t.Errorf("%d requests reached a server, too few to show anything", reached)
				}
			})
		}
	}
}

// Guards against a sound answer that comes late or not at all: it ends with its connection while the
// request is still being written to a server that reads nothing more of it.
func TestAnswerThatEndsBesideItsUploadIsComplete(t *testing.T) {
	t.Parallel()
	for service, target := range map[string]string{"desk": "/book/1", "llm": "/draft/1"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			server := newEarlyServer(t, 0, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				time.Sleep(4 * time.Second)
			})
			s := newUploadSite(t, service, server)
			for i := range 10 {
				start := time.Now()
				got := s.send(t.Context(), 0, http.MethodPost, target, fmt.Sprint("r-", i), nil, strings.Repeat("x", uploadBytes))
				if got.err != nil || got.status != http.StatusOK || got.body != firstEvent+secondEvent {
					t.Errorf("status %d, body %q, error %v; want the whole answer", got.status, got.body, got.err)
				}
				if took := time.Since(start); took > 2*time.Second {
					t.Errorf("the answer took %v", took)
				}
			}
		})
	}
}
