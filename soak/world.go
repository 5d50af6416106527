package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

// Routes and services of the soak. routeMoves goes to one or the other of two
// services by versions.
const (
	routeBook   = "book"
	routeStatus = "status"
	routeDraft  = "draft"
	routeMoves  = "moves"

	serviceDesk   = "desk"
	serviceMoved  = "moved"
	serviceLlm    = "llm"
	servicePhotos = "photos"

	// keptKeys is how many of the latest keys a version has, and otherKeys the
	// part of requests that use one of them or one that was revoked.
	keptKeys  = 3
	otherKeys = 0.2
)

type (
	// world is the instances under test and the stand-ins around them.
	world struct {
		dir, binary string
		judge       *judge
		store       *stand.Store

		mu        sync.Mutex
		instances []*instance
		servers   []*server
		version   int
		started   int
		// keys are those of the newest version, and given all that ever were.
		keys  []string
		given []string
	}

	// instance is one place where processes of the product run, one at a time.
	instance struct {
		number  int
		callers string
		ready   string
		peers   string
		// store is the link to the store.
		store *proxy

		mu      sync.Mutex
		command *exec.Cmd
		process int
		exited  chan struct{}
	}

	// server is a stand-in with the link to it.
	server struct {
		*stand.Server
		link    *proxy
		leaving bool
	}
)

func newWorld(dir, binary string, instances, firstPort int) (*world, error) {
	w := &world{dir: dir, binary: binary, judge: newJudge(), store: stand.NewStore()}
	for _, service := range []string{serviceDesk, serviceDesk, serviceDesk, serviceMoved, serviceMoved, serviceLlm, serviceLlm, serviceLlm, servicePhotos, servicePhotos} {
		if _, err := w.addServer(service); err != nil {
			return nil, err
		}
	}
	w.configure(serviceDesk)
	seeds := []string{}
	for i := range instances {
		link, err := newProxy(w.store.Address())
		if err != nil {
			return nil, err
		}
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+3*i+k) }
		in := &instance{number: i, callers: at(0), peers: at(1), ready: at(2), store: link}
		seeds = append(seeds, in.peers)
		w.instances = append(w.instances, in)
	}
	for _, in := range w.instances {
		if err := w.writeSettings(in, seeds); err != nil {
			return nil, err
		}
		if err := w.start(in); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) settings(in *instance) string {
	return filepath.Join(w.dir, fmt.Sprintf("entry-%d.ini", in.number))
}

func (w *world) writeSettings(in *instance, seeds []string) error {
	text := fmt.Sprintf(`[site]
name = entry-%d
failureDomain = d%d
callerAddress = %s
peerAddress = %s
operatorAddress = %s
seeds = %s
[store]
address = %s
[bounds]
drain = %v
config = %v
grace = %v
repeatRatio = %v
repeatSlack = %v
repeatWindow = %v
`, in.number, in.number%2, in.callers, in.peers, in.ready, strings.Join(seeds, ", "), in.store.address(),
		drainBound, configBound, grace, repeatRatio, repeatSlack, repeatWindow)
	return os.WriteFile(w.settings(in), []byte(text), 0o600)
}

// start runs a process of the product and notes its trouble until it is ready.
func (w *world) start(in *instance) error {
	end := w.judge.trouble(in.number)
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("entry-%d.log", in.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening a log: %w", err)
	}
	defer func() { _ = log.Close() }()
	in.command = exec.Command(w.binary, "entry", "--settings", w.settings(in))
	in.command.Stdout, in.command.Stderr = log, log
	if err := in.command.Start(); err != nil {
		return fmt.Errorf("starting instance %d: %w", in.number, err)
	}
	in.process++
	exited := make(chan struct{})
	in.exited = exited
	go func(c *exec.Cmd) {
		// The end of a process is what its signal asked for.
		_ = c.Wait()
		close(exited)
	}(in.command)
	go func() {
		defer end()
		for !in.isReady() {
			select {
			case <-exited:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return nil
}

func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the present process, if it still runs.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
	default:
		// It may end just now.
		_ = in.command.Process.Signal(s)
	}
}

func (in *instance) current() (process int, exited <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.process, in.exited
}

// addServer starts a server and writes its entry.
func (w *world) addServer(service string) (*server, error) {
	w.mu.Lock()
	w.started++
	id := fmt.Sprintf("s-%d", w.started)
	w.mu.Unlock()
	s := &server{Server: stand.NewServer(id, service, fmt.Sprintf("d%d", w.started%2))}
	s.WorkTime = 15 * time.Millisecond
	if service == serviceLlm {
		s.NumEvents, s.EventGap = 8, 40*time.Millisecond
	}
	s.Server.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		a := arrival{id: stand.RequestID(r), server: id, service: service, at: time.Now()}
		w.judge.note(func() { w.judge.arrivals = append(w.judge.arrivals, a) })
		return false
	}
	var err error
	if s.link, err = newProxy(s.Address()); err != nil {
		return nil, err
	}
	s.AdvertisedAddress = s.link.address()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.store.PutEntry(s.Server, stand.Ready)
	return s, nil
}

// anyKey returns the key that stays or, now and then, one that a version had.
func (w *world) anyKey(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rng.Float64() >= otherKeys {
		return callerKey
	}
	return w.given[max(0, len(w.given)-2*keptKeys)+rng.IntN(min(2*keptKeys, len(w.given)))]
}

// live returns the servers that are not leaving.
func (w *world) live() []*server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*server
	for _, s := range w.servers {
		if !s.leaving {
			out = append(out, s)
		}
	}
	return out
}

// configure writes the next version, by which routeMoves goes to a service.
func (w *world) configure(moves string) {
	w.mu.Lock()
	w.version += 1 + w.version%3
	number := w.version
	// Each version has one new key; the two before stay.
	w.given = append(w.given, fmt.Sprintf("key-%d", number))
	w.keys = append([]string{callerKey}, w.given[max(0, len(w.given)-keptKeys):]...)
	v := version{number: number, service: moves, keys: w.keys, sent: time.Now()}
	w.mu.Unlock()
	routes := []stand.Route{
		{Name: routeBook, Service: serviceDesk, Kind: stand.NonIdempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeStatus, Service: serviceDesk, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeDraft, Service: serviceLlm, Kind: stand.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second, Stages: []string{servicePhotos, servicePhotos}},
		{Name: routeMoves, Service: moves, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
	}
	services := []stand.Service{{Name: serviceDesk}, {Name: serviceMoved}, {Name: serviceLlm, Engine: true}, {Name: servicePhotos, Pieces: true}}
	w.store.PutConfig(number, map[string][]string{"roofs": v.keys}, services, routes)
	v.acked = time.Now()
	w.judge.note(func() { w.judge.versions = append(w.judge.versions, v) })
}

// waitReady waits until every instance is ready.
func (w *world) waitReady(ctx context.Context) error {
	for _, in := range w.instances {
		for !in.isReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %d is not ready: %w", in.number, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// close ends all that was started and counts the runs.
func (w *world) close() error {
	var errs []error
	for _, in := range w.instances {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		_, exited := in.current()
		select {
		case <-exited:
		case <-time.After(5 * time.Second):
			errs = append(errs, fmt.Errorf("instance %d does not end", in.number))
		}
		in.store.close()
	}
	w.judge.note(func() {
		for _, s := range w.servers {
			for id := range w.judge.requests {
				w.judge.runs[id] += s.Runs(id)
			}
		}
	})
	for _, s := range w.servers {
		s.link.close()
		s.Close()
	}
	w.store.Close()
	return errors.Join(errs...)
}
