package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"chervilpath/io/http1"
	"chervilpath/io/standin"
)

const (
	// uploadBytes is more than two sockets hold, so that an upload whose server reads nothing is
	// still being written.
	uploadBytes = 16 << 20

	// The answers have neither a length nor chunks.
	answerHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	answerPart = "a part of the answer"
)

// orderedConn is a connection on which a write that fails and the read after the answer happen in
// an order.
type orderedConn struct {
	*net.TCPConn
	// writeFirst is set if the write in progress fails first, and returns after the read.
	writeFirst bool
	// answered is closed once the answer has been read, writeFailed once a write has failed, and
	// readOn once the next read has returned.
	answered, writeFailed, readOn chan struct{}
	received                      int
	onceWrite, onceRead           sync.Once
}

// Write implements net.Conn.
func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err == nil {
		return n, nil
	}
	c.onceWrite.Do(func() { close(c.writeFailed) })
	if c.writeFirst {
		<-c.readOn
	}
	return n, err
}

// Read implements net.Conn.
func (c *orderedConn) Read(p []byte) (int, error) {
	if c.received < len(answerHead)+len(answerPart) {
		n, err := c.TCPConn.Read(p)
		c.received += n
		if c.received == len(answerHead)+len(answerPart) {
			close(c.answered)
		}
		return n, err
	}
	if c.writeFirst {
		<-c.writeFailed
	}
	n, err := c.TCPConn.Read(p)
	c.onceRead.Do(func() { close(c.readOn) })
	return n, err
}

// earlyServer answers each request before it has read the body, and then ends the connection.
type earlyServer struct {
	listener net.Listener
	// end ends a connection, whose client closes readOn once it has tried to read on after the
	// answer.
	end func(conn *net.TCPConn, readOn <-chan struct{})
}

func newEarlyServer(t *testing.T, end func(conn *net.TCPConn, readOn <-chan struct{})) *earlyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &earlyServer{listener: l, end: end}
}

// serveOne serves one connection, and ends it once answered is closed.
func (s *earlyServer) serveOne(answered, readOn <-chan struct{}) error {
	conn, err := s.listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, answerHead+answerPart); err != nil {
		return err
	}
	<-answered
	s.end(conn.(*net.TCPConn), readOn)
	return nil
}

// upload sends a large request to a server that answers early. It returns what came of the
// answer. The part is read before the reset if readsBefore is set.
func upload(t *testing.T, server *earlyServer, writeFirst, readsBefore bool) (body string, err error) {
	t.Helper()
	c := &orderedConn{writeFirst: writeFirst, answered: make(chan struct{}), writeFailed: make(chan struct{}), readOn: make(chan struct{})}
	answered := c.answered
	if !readsBefore {
		answered = make(chan struct{})
		close(answered)
	}
	transport := http1.NewTransport(&http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.TCPConn = conn.(*net.TCPConn)
		return c, nil
	}})
	served := make(chan error, 1)
	go func() { served <- server.serveOne(answered, c.readOn) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.listener.Addr().String(), io.NopCloser(io.LimitReader(zeros{}, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = uploadBytes
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		body = string(data)
	}
	if serveErr := <-served; serveErr != nil {
		t.Fatalf("at the server: %v", serveErr)
	}
	return body, err
}

// zeros is a reader of zeros without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a part of an answer that is taken for all of it: the answer has no length, and its
// connection is reset while the request is still being written.
func TestResetBesideAnUploadIsNoEndOfTheAnswer(t *testing.T) {
	t.Parallel()
	for _, writeFirst := range []bool{false, true} {
		for _, readsBefore := range []bool{true, false} {
			t.Run(fmt.Sprintf("write first %v, read before the reset %v", writeFirst, readsBefore), func(t *testing.T) {
				t.Parallel()
				server := newEarlyServer(t, func(conn *net.TCPConn, _ <-chan struct{}) { standin.Reset(conn) })
				complete := 0
				for range 200 {
					body, err := upload(t, server, writeFirst, readsBefore)
					if err == nil {
						complete++
						if complete == 1 {
							t.Errorf("the answer %q was complete", body)
						}
					}
					if errors.Is(err, context.DeadlineExceeded) {
						t.Fatal(err)
					}
				}
				if complete > 0 {
					t.Errorf("%d of 200 answers were taken for complete", complete)
				}
			})
		}
	}
}

// Guards against a sound answer that is refused: it ends with its connection, the server closes its
// side and reads on or not, while the request is still being written.
func TestEndOfAnAnswerBesideAnUploadIsItsEnd(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		end        func(conn *net.TCPConn, readOn <-chan struct{})
		writeFirst bool
	}{
		"reads on": {end: func(conn *net.TCPConn, _ <-chan struct{}) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
		"reads nothing": {end: func(conn *net.TCPConn, readOn <-chan struct{}) {
			_ = conn.CloseWrite()
			<-readOn
		}},
		"is reset after its end": {writeFirst: true, end: func(conn *net.TCPConn, _ <-chan struct{}) {
			_ = conn.CloseWrite()
			standin.Reset(conn)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newEarlyServer(t, tt.end)
			for range 50 {
				if body, err := upload(t, server, tt.writeFirst, true); err != nil || body != answerPart {
					t.Fatalf("body %q, error %v; want the whole answer", body, err)
				}
			}
		})
	}
}
