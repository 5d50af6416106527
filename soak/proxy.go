package main

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats what passes.
type mode uint8

const (
	pass mode = iota
	// slow delays each read, reset breaks connections off and refuses new ones,
	// silent holds everything, oneWay holds what comes back.
	slow
	reset
	silent
	oneWay
)

// slowDelay is the delay of a slow proxy.
const slowDelay = 150 * time.Millisecond

var modeNames = [...]string{pass: "pass", slow: "slow", reset: "reset", silent: "silent", oneWay: "one way"}

// proxy is a link between a process and a peer that can be harmed.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newProxy listens on loopback before a target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes how the proxy treats what passes. Silent connections stay silent
// until they are closed, as a lost path leaves them.
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

// closeAll resets all connections. The caller holds mu.
func (p *proxy) closeAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

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

// forward passes bytes on until one side ends; back is set for answers.
func (p *proxy) forward(from, to net.Conn, response bool) {
	defer func() {
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
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
