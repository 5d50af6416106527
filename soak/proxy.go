package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the data and connections that pass through it.
type mode uint8

const (
	// pass forwards data unchanged.
	pass mode = iota
	// slow delays each read by slowDelay.
	slow
	// reset resets all connections and closes new ones.
	reset
	// silent holds all data back.
	silent
	// oneWay holds back the data that comes from the target.
	oneWay
)

const slowDelay = 150 * time.Millisecond

var modeNames = [...]string{pass: "pass", slow: "slow", reset: "reset", silent: "silent", oneWay: "one way"}

// proxy is a TCP proxy that can disrupt the connections to its target.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
	// usedAt is when data last passed from a client to the target.
	usedAt time.Time
}

// newProxy returns a proxy that listens on loopback and forwards to a target address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// usedWithin reports whether data has passed to the target within d.
func (p *proxy) usedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.usedAt) < d
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. To end silent or oneWay as the loss of a network path would, set
// reset first: otherwise the data that was held back is still forwarded.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		p.closeAll()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll resets all connections. The caller must hold mu.
func (p *proxy) closeAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// state returns the mode, and a channel that is closed when the mode is set again.
func (p *proxy) state() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.state(); m == reset {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(in, out, false)
		go p.forward(out, in, true)
	}
}

// forward copies data until one side closes its connection, and passes a reset on as one. response is
// set for the direction from the target to the client.
func (p *proxy) forward(from, to net.Conn, response bool) {
	failed := false
	defer func() {
		if failed {
			_, _ = from.(*net.TCPConn).SetLinger(0), to.(*net.TCPConn).SetLinger(0)
		}
		_, _ = from.Close(), to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			m, changed := p.state()
			if m != silent && (m != oneWay || !response) {
				if m == slow {
					time.Sleep(slowDelay)
				}
				break
			}
			<-changed
		}
		if n > 0 && !response {
			p.mu.Lock()
			p.usedAt = time.Now()
			p.mu.Unlock()
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				failed = true
				return
			}
		}
		if err != nil {
			failed = err != io.EOF
			return
		}
	}
}
