package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/settings"
	"chervilpath/platform"
	"chervilpath/platform/stand"
)

// virtualBound is the bound on configurations and leaving servers in a virtualFleet.
const virtualBound = 3 * time.Second

type (
	// virtualFleet runs instances in the time and in the memory of a synctest bubble, without
	// what serves callers.
	virtualFleet struct {
		t         *testing.T
		store     *stand.Store
		instances []*Instance
		servers   []*http.Server
		// hop returns how long the next message between two instances takes.
		hop func() time.Duration

		mu        sync.Mutex
		listeners map[string]*virtualListener
		// refused holds the names of the instances that the store refuses.
		refused map[string]bool
		// answerDelay, unless it is nil, returns how long the next answer of the store is on
		// its way. answeredAt holds when the store made the latest answer that has arrived, by
		// kind of object.
		answerDelay func() time.Duration
		answeredAt  map[string]time.Time
		// suspended holds for how long the machines of instances were suspended, by name.
		suspended map[string]time.Duration
	}

	// virtualListener accepts connections in memory.
	virtualListener struct {
		address string
		conns   chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	// delayedConn is a connection whose writes arrive later. A write does not wait, since
	// whoever holds a lock meanwhile keeps the time of a bubble from passing.
	delayedConn struct {
		net.Conn
		delay  func() time.Duration
		mu     sync.Mutex
		closed bool
		// writes holds what has not arrived yet.
		writes chan []byte
	}

	// storeTransport sends the calls of an instance to the store in memory.
	storeTransport struct {
		fleet *virtualFleet
		name  string
	}
)

// newVirtualFleet starts instances that know each other and the store's content. It must be
// called in a synctest bubble, and stop before its end.
func newVirtualFleet(t *testing.T, n int, hop func() time.Duration) *virtualFleet {
	t.Helper()
	f := &virtualFleet{t: t, store: stand.New(time.Now), hop: hop, listeners: make(map[string]*virtualListener), refused: make(map[string]bool), answeredAt: make(map[string]time.Time), suspended: make(map[string]time.Duration)}
	f.putVersion(1)
	f.store.PutServer("i-1", "10.0.1.1:80", "a", "ready")
	for i := range n {
		f.start(fmt.Sprintf("edge-%d", i), virtualAddress(i))
	}
	return f
}

func virtualAddress(i int) string { return fmt.Sprintf("10.0.0.%d:70", i+1) }

// putVersion writes a version of the configuration to the store.
func (f *virtualFleet) putVersion(version int) {
	f.store.Put("config", "main", map[string]any{"version": version, "routes": []any{}, "services": []any{map[string]any{"name": "desk"}}})
}

func (f *virtualFleet) start(name, address string) {
	f.t.Helper()
	ini := fmt.Sprintf("[site]\nname = %s\nfailureDomain = a\ncallerAddress = 10.0.0.1:1\npeerAddress = %s\noperatorAddress = 10.0.0.1:2\nseeds = %s\n[store]\naddress = 10.0.0.1:3\n[bounds]\nconfig = %v\ndrain = %v\nevacuation = %v\n",
		name, address, virtualAddress(0), virtualBound, virtualBound, virtualBound)
	cfg, err := settings.ParseSite("virtual.ini", []byte(ini))
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &http.Transport{DialContext: f.dial}
	in, err := newInstance(kernel.New(), cfg, zap.NewNop(), func() int64 { return 0 }, transport)
	if err != nil {
		f.t.Fatal(err)
	}
	in.bootTime = func() time.Time { return time.Now().Add(f.suspension(name)) }
	in.store = platform.NewStore("http://store", &http.Client{Transport: storeTransport{f, name}})
	ln := &virtualListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.mu.Lock()
	f.listeners[address] = ln
	f.mu.Unlock()
	server := &http.Server{Handler: in.peerHandler()}
	go func() { _ = server.Serve(ln) }()
	f.instances, f.servers = append(f.instances, in), append(f.servers, server)
	if err := in.startLoops(in.members.Run, in.followPeers, in.followConfig, in.followServers, in.followEvacuations)(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
}

// stop ends all instances.
func (f *virtualFleet) stop() {
	for _, in := range f.instances {
		in.cancelLoops()
		in.cancelShutdownCtx()
	}
	for i, in := range f.instances {
		in.loops.Wait()
		in.peers.CloseIdle()
		_ = f.servers[i].Close()
	}
	// Messages that are on their way arrive.
	time.Sleep(time.Second)
	synctest.Wait()
}

// setRefused sets whether the store refuses instances.
func (f *virtualFleet) setRefused(refused bool, instances ...*Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range instances {
		f.refused[in.name] = refused
	}
}

func (f *virtualFleet) isRefused(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[name]
}

func (f *virtualFleet) suspension(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspended[name]
}

// suspend lets the machine of an instance have been suspended, which its monotonic clock does
// not count.
func (f *virtualFleet) suspend(in *Instance, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended[in.name] += d
}

// watchers returns the instances that watch the store on behalf of all.
func (f *virtualFleet) watchers() []*Instance {
	var out []*Instance
	for _, in := range f.instances {
		if _, watches := in.sources(); watches {
			out = append(out, in)
		}
	}
	return out
}

func (f *virtualFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	ln := f.listeners[address]
	f.mu.Unlock()
	if ln == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	client, server := net.Pipe()
	select {
	case ln.conns <- newDelayedConn(server, f.hop):
		return newDelayedConn(client, f.hop), nil
	case <-ln.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *virtualListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *virtualListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *virtualListener) Addr() net.Addr { return &net.TCPAddr{} }

func newDelayedConn(conn net.Conn, delay func() time.Duration) *delayedConn {
	c := &delayedConn{Conn: conn, delay: delay, writes: make(chan []byte, 1000)}
	go func() {
		for p := range c.writes {
			time.Sleep(c.delay())
			if _, err := c.Conn.Write(p); err != nil {
				break
			}
		}
		_ = c.Conn.Close()
	}()
	return c
}

// Write implements net.Conn. It fails once the connection is closed, or does not take what
// is written to it.
func (c *delayedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	select {
	case c.writes <- bytes.Clone(p):
		return len(p), nil
	default:
		return 0, errors.New("too many writes are on their way")
	}
}

// Close implements net.Conn. What was written before arrives.
func (c *delayedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	close(c.writes)
	// The other end may read no more.
	return c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
}

func (t storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	const latency = 4 * time.Millisecond
	time.Sleep(latency)
	w := httptest.NewRecorder()
	if !t.fleet.isRefused(t.name) {
		t.fleet.store.ServeHTTP(w, r)
	}
	if t.fleet.isRefused(t.name) {
		// A watch that waits is refused too.
		w = httptest.NewRecorder()
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return t.fleet.deliver(r, w)
}

// deliver returns an answer of the store after its delay.
func (f *virtualFleet) deliver(r *http.Request, w *httptest.ResponseRecorder) (*http.Response, error) {
	madeAt := time.Now()
	f.mu.Lock()
	delay := f.answerDelay
	f.mu.Unlock()
	if delay != nil {
		select {
		case <-time.After(delay()):
		case <-r.Context().Done():
		}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind := path.Base(r.URL.Path); madeAt.After(f.answeredAt[kind]) {
		f.answeredAt[kind] = madeAt
	}
	return w.Result(), nil
}

// setAnswerDelay sets how long answers of the store are on their way.
func (f *virtualFleet) setAnswerDelay(delay func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerDelay = delay
}

// lastAnswer returns when the store made the latest answer about a kind of object that has
// arrived anywhere.
func (f *virtualFleet) lastAnswer(kind string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt[kind]
}
