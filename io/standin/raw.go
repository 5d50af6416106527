package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Raw stands in for a server that answers each request with the same bytes and keeps its
// connections. Use NewRaw to create one.
type Raw struct {
	listener net.Listener
	answer   string
	// partBytes is how many bytes are written at once.
	partBytes int
	conns     atomic.Int32
}

// NewRaw returns a server that writes an answer in parts of the given size.
func NewRaw(answer string, partBytes int) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for requests: %w", err)
	}
	s := &Raw{listener: l, answer: answer, partBytes: partBytes}
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Raw) Address() string { return s.listener.Addr().String() }

// Conns returns the number of connections that were opened.
func (s *Raw) Conns() int { return int(s.conns.Load()) }

// Close ends the listening. Open connections end with their callers.
func (s *Raw) Close() { _ = s.listener.Close() }

// Reset closes a connection with a reset.
func Reset(conn net.Conn) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Raw) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

func (s *Raw) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if err := s.write(conn); err != nil {
			return
		}
	}
}

func (s *Raw) write(conn net.Conn) error {
	var err error
	for rest := s.answer; rest != "" && err == nil; {
		n := min(s.partBytes, len(rest))
		_, err = io.WriteString(conn, rest[:n])
		rest = rest[n:]
	}
	return err
}
