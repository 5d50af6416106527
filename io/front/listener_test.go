package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/io/front"
)

// pipeListener accepts connections in memory, so that time is virtual.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// limitedServer serves callers whose limits can be changed.
type limitedServer struct {
	t        *testing.T
	listener *pipeListener
	mu       sync.Mutex
	limits   front.Limits
}

// newLimitedServer returns a server that answers each request, after the time that its
// header Work gives, with the length of its body.
func newLimitedServer(t *testing.T, limits front.Limits) *limitedServer {
	s := &limitedServer{t: t, listener: &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}, limits: limits}
	server := &http.Server{MaxHeaderBytes: front.MaxHeaderBytes, ConnState: front.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if work, err := time.ParseDuration(r.Header.Get("Work")); err == nil {
			time.Sleep(work)
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	go func() { _ = server.Serve(front.NewListener(s.listener, s.current, nil)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limitedServer) current() front.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

func (s *limitedServer) set(limits front.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// caller is one connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) connect() *caller {
	near, far := net.Pipe()
	s.listener.accepted <- far
	s.t.Cleanup(func() { _ = near.Close() })
	return &caller{t: s.t, Conn: near, reader: bufio.NewReader(near)}
}

// send writes text and reports whether the server read it.
func (c *caller) send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// status reads a response and returns its status, or 0 if the connection has ended.
func (c *caller) status() int {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// request sends a request and returns the status of the response.
func (c *caller) request() int {
	if !c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n") {
		return 0
	}
	return c.status()
}

func limits(header, idle time.Duration) front.Limits {
	return front.Limits{HeaderBytes: 1000, HeaderTimeout: header, IdleTimeout: idle}
}

// Failure: a caller reuses a connection within the limit in force, and it was closed
// after another limit.
func TestIdleConnectionLastsForTheLimitInForce(t *testing.T) {
	const short, long = 10 * time.Second, 60 * time.Second
	tests := []struct {
		name string
		// The limit is before until half of short after the connection became idle.
		before, after time.Duration
		reuse         time.Duration
		want          int
	}{
		{"kept", long, long, 50 * time.Second, 200},
		{"over", short, short, 11 * time.Second, 0},
		{"raised meanwhile", short, long, 50 * time.Second, 200},
		{"raised meanwhile and over", short, long, 61 * time.Second, 0},
		{"lowered meanwhile", long, short, 50 * time.Second, 200},
		{"lowered meanwhile and over", long, short, 61 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLimitedServer(t, limits(time.Second, tt.before))
				c := s.connect()
				for range 2 {
					if got := c.request(); got != 200 {
						t.Fatalf("first requests: status %d", got)
					}
				}
				time.Sleep(short / 2)
				s.set(limits(time.Second, tt.after))
				time.Sleep(tt.reuse - short/2)
				if got := c.request(); got != tt.want {
					t.Errorf("reused after %v: status %d, want %d", tt.reuse, got, tt.want)
				}
			})
		})
	}
}

// Failure: limits keep to the time of a request instead of its header, or outlive it.
func TestLimitsDoNotEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitedServer(t, limits(time.Second, 2*time.Second)).connect()
		for range 3 {
			if !c.send("POST / HTTP/1.1\r\nHost: h\r\nWork: 30s\r\nContent-Length: 2\r\n\r\n") {
				t.Fatal("the header was not read")
			}
			time.Sleep(10 * time.Second)
			if !c.send("ab") {
				t.Fatal("the body was not read")
			}
			if got := c.status(); got != 200 {
				t.Fatalf("status %d, want 200", got)
			}
			time.Sleep(1900 * time.Millisecond)
		}
	})
}

// Failure: a caller that takes as long for a header as the limit in force allows gets no
// answer, or one that takes longer keeps its connection.
func TestHeaderMayTakeAsLongAsTheLimitInForce(t *testing.T) {
	const short, long = 2 * time.Second, 20 * time.Second
	tests := []struct {
		name          string
		before, after time.Duration
		takes         time.Duration
		served        bool
	}{
		{"kept", long, long, 19 * time.Second, true},
		{"over", short, short, 3 * time.Second, false},
		{"raised meanwhile", short, long, 19 * time.Second, true},
		{"raised meanwhile and over", short, long, 21 * time.Second, false},
	}
	for _, reused := range []bool{false, true} {
		for _, tt := range tests {
			t.Run(fmt.Sprint(tt.name, " reused=", reused), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newLimitedServer(t, limits(tt.before, time.Minute))
					c := s.connect()
					if reused {
						c.request()
						time.Sleep(30 * time.Second)
					}
					c.send("GET / HTTP/1.1\r\nHo")
					time.Sleep(short / 2)
					s.set(limits(tt.after, time.Minute))
					time.Sleep(tt.takes - short/2)
					go c.send("st: h\r\n\r\n")
					if got := c.status(); (got == 200) != tt.served {
						t.Errorf("header after %v: status %d, want it to be served: %v", tt.takes, got, tt.served)
					}
				})
			})
		}
	}
}

// Failure: a header within the limit in force is refused, or one beyond it takes memory.
func TestHeaderMayBeAsLargeAsTheLimitInForce(t *testing.T) {
	const readAhead = 4096
	for _, tt := range []struct{ limit, size, want int }{{1000, 900, 200}, {1000, 1000 + readAhead + 100, 431}, {60_000, 59_000, 200}, {front.MaxHeaderBytes, front.MaxHeaderBytes - 1000, 200}} {
		synctest.Test(t, func(t *testing.T) {
			s := newLimitedServer(t, limits(time.Second, time.Second))
			c := s.connect()
			if got := c.request(); got != 200 {
				t.Fatalf("status %d", got)
			}
			s.set(front.Limits{HeaderBytes: tt.limit, HeaderTimeout: time.Second, IdleTimeout: time.Second})
			for range 2 {
				go c.send("GET / HTTP/1.1\r\nHost: h\r\nLarge: " + strings.Repeat("x", tt.size-100) + "\r\n\r\n")
				if got := c.status(); got != tt.want {
					t.Errorf("limit %d, header of %d bytes: status %d, want %d", tt.limit, tt.size, got, tt.want)
				}
				if tt.want != 200 {
					break
				}
			}
		})
	}
}

// Failure: a request that arrives along with the one before gets no answer.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitedServer(t, limits(time.Second, 10*time.Second)).connect()
		const n = 5
		text := ""
		for i := range n {
			text += fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nWork: 3s\r\nContent-Length: %d\r\n\r\n%s", i, strings.Repeat("x", i))
		}
		go c.send(text)
		for i := range n {
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != fmt.Sprint(i) {
				t.Fatalf("answer %d: %q, %v", i, body, err)
			}
		}
	})
}
