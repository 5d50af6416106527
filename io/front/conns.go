package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conns holds the open connections of an http.Server without a ReadTimeout, so that a
// shutdown can close those that wait for a request. http.Server.Shutdown would also close
// those whose request it has just read. The zero value is ready for use.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]*connState
}

type connState struct {
	idle bool
	// interrupted is set once CloseIdle has changed the read deadline.
	interrupted bool
}

// Track is the ConnState function of the server. It calls TrackState.
func (c *Conns) Track(conn net.Conn, state http.ConnState) {
	TrackState(conn, state)
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	s, ok := c.open[conn]
	if !ok {
		if c.open == nil {
			c.open = make(map[net.Conn]*connState)
		}
		s = &connState{}
		c.open[conn] = s
	}
	s.idle = state == http.StateIdle
	if state == http.StateActive && s.interrupted {
		// The request was read before it could be interrupted, and is served.
		s.interrupted = false
		if cc, ok := conn.(*callerConn); ok {
			cc.interrupted.Store(false)
		}
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// CloseIdle makes the server close the connections that have carried a request and wait
// for another one, unless that one has begun to arrive, and returns the number of
// connections that are still open. The server may miss it for a connection that has just
// become idle, so CloseIdle has to be called until it returns 0.
func (c *Conns) CloseIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.idle {
			s.interrupted = true
			if cc, ok := conn.(*callerConn); ok {
				cc.interrupted.Store(true)
			}
			// Reading fails from now on unless bytes have arrived, see io/arrived. An error
			// means that the connection is closed.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(c.open)
}
