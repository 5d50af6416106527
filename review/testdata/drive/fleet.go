package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

// The bounds of the Kgotso site that the cases use.
const (
	drainTime   = 2 * time.Second
	configTime  = 2 * time.Second
	contactTime = 3 * time.Second
	graceTime   = 8 * time.Second

	apiKey = "key-1"
)

// machineNames are the names of the machines of a deployment of eight machines in three
// zones.
var machineNames = []string{
	"edge-midrand-1", "edge-germiston-1", "edge-roodepoort-1", "edge-midrand-2", "edge-germiston-2", "edge-roodepoort-2", "edge-midrand-3", "edge-germiston-3",
}

// errNotReady means that a process did not become ready after the start of all, as when its
// port was taken meanwhile.
var errNotReady = errors.New("a process is not ready")

type (
	// fleet holds the processes of the system under test, and the stand-ins of the
	// platform and of the servers.
	fleet struct {
		dir, binary string
		store       *stand.Store
		machines    []*machine
		// seeds are the indexes of the machines that the settings name as seeds.
		seeds   []int
		started time.Time

		mu     sync.Mutex
		record []string
	}

	// machine runs one process of the system at a time.
	machine struct {
		fleet                     *fleet
		name, zone                string
		callers, peers, operators string
		// storeLink forwards to the store and counts the bytes of the calls.
		storeLink net.Listener
		sentBytes atomic.Int64

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		// disturbed are the times at which the process was started or got a signal.
		disturbed []time.Time
	}
)

// freeAddresses returns n addresses on which nothing listens. Their ports are below those
// that the system gives to outgoing connections.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		l, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(out, address) {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("there are no %d free ports", n)
}

// newFleet creates the machines and does not start their processes.
func newFleet(dir, binary string, machines int, seeds ...int) (*fleet, error) {
	f := &fleet{dir: dir, binary: binary, seeds: seeds, store: stand.NewStore(), started: time.Now()}
	addresses, err := freeAddresses(3 * machines)
	if err != nil {
		return nil, err
	}
	for i := range machines {
		m := &machine{fleet: f, name: machineNames[i], zone: strings.Split(machineNames[i], "-")[1], callers: addresses[3*i], peers: addresses[3*i+1], operators: addresses[3*i+2]}
		if m.storeLink, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		go m.forwardToStore()
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (m *machine) forwardToStore() {
	for {
		in, err := m.storeLink.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			out, err := net.Dial("tcp", m.fleet.store.Address())
			if err != nil {
				return
			}
			defer out.Close()
			go func() {
				_, _ = io.Copy(in, out)
				_ = in.Close()
			}()
			_, _ = io.Copy(out, countingReader{in, &m.sentBytes})
		}()
	}
}

type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// writeSettings writes what platform/entry.ini.tmpl gives for the machine.
func (m *machine) writeSettings() error {
	f := m.fleet
	var seeds []string
	for _, i := range f.seeds {
		seeds = append(seeds, f.machines[i].peers)
	}
	text := fmt.Sprintf(`[site]
name = %s
failureDomain = %s
callerAddress = %s
peerAddress = %s
operatorAddress = %s
seeds = %s

[store]
address = %s

[bounds]
drain = %dms
config = %dms
heartbeat = 1200ms
grace = %ds
repeatRatio = 0.2
repeatWindow = 10s
repeatSlack = 56

[machine]
cores = 0.4
linkMbps = 1000.0
`, m.name, m.zone, m.callers, m.peers, m.operators, strings.Join(seeds, ","), m.storeLink.Addr(), drainTime.Milliseconds(), configTime.Milliseconds(), int(graceTime.Seconds()))
	return os.WriteFile(m.settingsFile(), []byte(text), 0o600)
}

func (m *machine) settingsFile() string { return filepath.Join(m.fleet.dir, m.name+".ini") }

// start starts a process as the deploy file says.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(m.fleet.binary, "entry")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILPATH_NODE_FILE=" + m.settingsFile()}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.disturbed = append(m.disturbed, time.Now())
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(m.cmd)
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = append(m.disturbed, time.Now())
	select {
	case <-m.exited:
	default:
		_ = m.cmd.Process.Signal(sig)
	}
}

// inTouchDuring reports whether the process ran undisturbed for contactTime before a time.
func (m *machine) inTouchDuring(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.disturbed, func(d time.Time) bool { return !d.After(at) && at.Sub(d) < contactTime })
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.operators + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.log("all %d processes are ready", len(f.machines))
	return nil
}

// readers returns the machines that have called the store within d.
func (f *fleet) readers(d time.Duration) []*machine {
	before := make(map[*machine]int64)
	for _, m := range f.machines {
		before[m] = m.sentBytes.Load()
	}
	time.Sleep(d)
	var out []*machine
	for _, m := range f.machines {
		if m.sentBytes.Load() > before[m] {
			out = append(out, m)
		}
	}
	return out
}

// log records what happened now, with the time since the start.
func (f *fleet) log(format string, args ...any) { f.logAt(time.Now(), format, args...) }

// logAt records what happened at a time.
func (f *fleet) logAt(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s", at.Sub(f.started).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record = append(f.record, line)
}

func (f *fleet) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(f.started).Seconds()) }

// close kills the processes that were started.
func (f *fleet) close() error {
	var errs []error
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		select {
		case <-m.exited:
		case <-time.After(5 * time.Second):
			errs = append(errs, fmt.Errorf("%s did not exit", m.name))
		}
		_ = m.storeLink.Close()
	}
	f.store.Close()
	return errors.Join(errs...)
}

// writeRecord writes the record, sorted by time.
func (f *fleet) writeRecord(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.record)
	return os.WriteFile(path, []byte(strings.Join(f.record, "\n")+"\n"), 0o644)
}

type (
	// callers sends requests and keeps what was answered.
	callers struct {
		fleet  *fleet
		client *http.Client
		prefix string
		next   atomic.Int64

		mu       sync.Mutex
		requests map[string]*call
	}

	// call is one request of a client, which is one attempt.
	call struct {
		id, route string
		machine   *machine
		sent      time.Time
		ended     time.Time
		// status is that of the answer, or 0 if there was none.
		status int
		stamp  string
		body   string
		err    error
	}
)

func newCallers(f *fleet) *callers {
	return &callers{
		fleet: f, prefix: fmt.Sprintf("%08x", f.started.UnixNano()&0xffffffff), requests: make(map[string]*call),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second, DisableCompression: true}},
	}
}

// send sends one request to a machine and waits for its end.
func (c *callers) send(ctx context.Context, m *machine, route string, timeout time.Duration, change func(*http.Request)) *call {
	out := &call{id: fmt.Sprintf("%s%08x", c.prefix, c.next.Add(1)), route: route, machine: m, sent: time.Now()}
	c.mu.Lock()
	c.requests[out.id] = out
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := stand.NewRequest(ctx, m.callers, stand.Request{ID: out.id, APIKey: apiKey, Path: "/" + route + "/1", Timeout: timeout, Body: "body of " + out.id})
	if err == nil && change != nil {
		change(req)
	}
	var resp *http.Response
	if err == nil {
		resp, err = c.client.Do(req)
	}
	var status int
	var body []byte
	var stamp string
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, stamp = resp.StatusCode, resp.Header.Get(stand.HeaderServerStamp)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.ended, out.status, out.stamp, out.body, out.err = time.Now(), status, stamp, string(body), err
	return out
}

// find returns the request with the given ID.
func (c *callers) find(id string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// all returns all requests.
func (c *callers) all() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*call
	for _, r := range c.requests {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *call) int { return a.sent.Compare(b.sent) })
	return out
}

// recordAll records what was sent, answered and run.
func (c *callers) recordAll(servers []*stand.Server) {
	f := c.fleet
	answered := make(map[int]int)
	for _, r := range c.all() {
		answered[r.status]++
		f.logAt(r.sent, "%s sent to %s: POST /%s/1", r.id, r.machine.name, r.route)
		answer := fmt.Sprintf("status %d, stamp %q", r.status, r.stamp)
		if r.err != nil {
			answer = fmt.Sprintf("no complete answer: %v", r.err)
		}
		f.logAt(r.ended, "%s ends at its client: %s", r.id, answer)
	}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			f.logAt(a.At, "%s reaches server %s, %s, runs there so far or later: %d", a.RequestID, s.ID, a.Path, s.Runs(a.RequestID))
		}
	}
	f.log("answers by status, 0 for none: %v", answered)
}

// load sends requests of a route to all machines that are ready, each gap, until ctx ends.
func (c *callers) load(ctx context.Context, route string, timeout, gap time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, m := range c.fleet.machines {
		wg.Go(func() {
			ticker := time.NewTicker(gap)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					wg.Go(func() { c.send(context.Background(), m, route, timeout, nil) })
				}
			}
		})
	}
	return &wg
}
