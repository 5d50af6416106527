package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/io/front"
)

// countingListener counts the bytes that its connections have read, by the address of
// the peer.
type countingListener struct {
	net.Listener
	read sync.Map
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := new(atomic.Int64)
	l.read.Store(conn.RemoteAddr().String(), n)
	return &countingConn{conn, n}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Requests on kept connections that had been read as a planned stop closed idle
// connections were closed without an answer.
func TestRequestThatWasReadIsAnsweredAsIdleConnectionsClose(t *testing.T) {
	t.Run("plain listener", func(t *testing.T) {
		closeIdleBesideRequests(t, func(ln net.Listener) net.Listener { return ln })
	})
	t.Run("listener with limits", func(t *testing.T) {
		limits := func() front.Limits {
			return front.Limits{HeaderBytes: 1 << 16, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		}
		closeIdleBesideRequests(t, func(ln net.Listener) net.Listener { return front.NewListener(ln, limits, nil) })
	})
}

// closeIdleBesideRequests sends requests on many kept connections at the moment at which
// a server on a listener closes its idle connections.
func closeIdleBesideRequests(t *testing.T, wrap func(net.Listener) net.Listener) {
	const (
		numConns = 400
		request  = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	)
	var conns front.Conns
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil || r.Context().Err() != nil {
				t.Errorf("reading a body: %v, %v", err, r.Context().Err())
			}
			_, _ = w.Write(body)
		}),
		ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, ConnState: conns.Track,
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &countingListener{Listener: inner}
	go func() {
		if err := server.Serve(wrap(ln)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server stopped: %v", err)
		}
	}()
	defer func() { _ = server.Close() }()
	answered, unanswered := 0, 0
	var mu sync.Mutex
	var ready, done sync.WaitGroup
	start := make(chan struct{})
	for i := range numConns {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		exchange := func() error {
			// The head and the body are sent one after the other.
			if _, err := io.WriteString(conn, request[:len(request)-4]); err != nil {
				return err
			}
			if i%4 == 0 {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(conn, request[len(request)-4:]); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); string(body) != "body" {
				return fmt.Errorf("body %q, error %w", body, err)
			}
			return nil
		}
		ready.Add(1)
		done.Go(func() {
			err := exchange()
			ready.Done()
			if err != nil {
				t.Errorf("the first request on a connection: %v", err)
				return
			}
			<-start
			time.Sleep(time.Duration(i) * 20 * time.Microsecond)
			err = exchange()
			n, _ := ln.read.Load(conn.LocalAddr().String())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case n.(*atomic.Int64).Load() >= int64(2*len(request)):
				t.Errorf("a request was read and closed without an answer: %v", err)
			default:
				unanswered++
			}
		})
	}
	ready.Wait()
	close(start)
	time.Sleep(numConns / 2 * 20 * time.Microsecond)
	_ = inner.Close()
	closed := false
	for deadline := time.Now().Add(10 * time.Second); !closed && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		closed = conns.CloseIdle() == 0
	}
	if !closed {
		t.Error("connections are still open after 10 s")
	}
	done.Wait()
	t.Logf("%d requests answered, %d not read", answered, unanswered)
}
