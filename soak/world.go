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
	routeBook       = "book"
	routeStatus     = "status"
	routeDraft      = "draft"
	routeReassigned = "moves"

	serviceDesk      = "desk"
	serviceAlternate = "moved"
	serviceLLM       = "llm"
	servicePhotos    = "photos"

	// keysPerVersion is how many of the latest keys a version has, and otherKeys the
	// part of requests that use one of them or one that was revoked.
	keysPerVersion = 3
	otherKeyRatio  = 0.2
)

type (
	// harness is the instances under test and the stand-ins around them.
	harness struct {
		dir, binary string
		checker     *checker
		store       *stand.Store

		mu          sync.Mutex
		instances   []*instance
		servers     []*server
		lastVersion int
		serverCount int
		// keys are those of the newest version, and given all that ever were.
		keys       []string
		issuedKeys []string
	}

	// instance is one place where processes of the product run, one at a time.
	instance struct {
		number          int
		callerAddress   string
		operatorAddress string
		peerAddress     string
		// storeLink is the link to the store.
		storeLink *proxy

		mu            sync.Mutex
		cmd           *exec.Cmd
		processNumber int
		exited        chan struct{}
	}

	// server is a stand-in with the link to it.
	server struct {
		*stand.Server
		link    *proxy
		retired bool
	}
)

func newHarness(dir, binary string, instances, firstPort int) (*harness, error) {
	h := &harness{dir: dir, binary: binary, checker: newChecker(), store: stand.NewStore()}
	for _, service := range []string{serviceDesk, serviceDesk, serviceDesk, serviceAlternate, serviceAlternate, serviceLLM, serviceLLM, serviceLLM, servicePhotos, servicePhotos} {
		if _, err := h.addServer(service); err != nil {
			return nil, err
		}
	}
	h.putConfig(serviceDesk)
	seeds := []string{}
	for i := range instances {
		link, err := newProxy(h.store.Address())
		if err != nil {
			return nil, err
		}
		address := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+3*i+k) }
		in := &instance{number: i, callerAddress: address(0), peerAddress: address(1), operatorAddress: address(2), storeLink: link}
		seeds = append(seeds, in.peerAddress)
		h.instances = append(h.instances, in)
	}
	for _, in := range h.instances {
		if err := h.writeSettings(in, seeds); err != nil {
			return nil, err
		}
		if err := h.startProcess(in); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *harness) settingsFile(in *instance) string {
	return filepath.Join(h.dir, fmt.Sprintf("entry-%d.ini", in.number))
}

func (h *harness) writeSettings(in *instance, seeds []string) error {
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
`, in.number, in.number%2, in.callerAddress, in.peerAddress, in.operatorAddress, strings.Join(seeds, ", "), in.storeLink.address(),
		drainTimeout, configPropagation, gracePeriod, retryRatio, retrySlack, retryWindow)
	return os.WriteFile(h.settingsFile(in), []byte(text), 0o600)
}

// startProcess runs a process of the product and notes its trouble until it is ready.
func (h *harness) startProcess(in *instance) error {
	end := h.checker.beginDisturbance(in.number)
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.dir, fmt.Sprintf("entry-%d.log", in.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening a log: %w", err)
	}
	defer func() { _ = log.Close() }()
	in.cmd = exec.Command(h.binary, "entry", "--settings", h.settingsFile(in))
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return fmt.Errorf("starting instance %d: %w", in.number, err)
	}
	in.processNumber++
	exited := make(chan struct{})
	in.exited = exited
	go func(c *exec.Cmd) {
		// The end of a process is what its signal asked for.
		_ = c.Wait()
		close(exited)
	}(in.cmd)
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
	resp, err := client.Get("http://" + in.operatorAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the present process, if it still runs.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
	default:
		// It may end just now.
		_ = in.cmd.Process.Signal(sig)
	}
}

func (in *instance) currentProcess() (number int, exited <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.processNumber, in.exited
}

// addServer starts a server and writes its entry.
func (h *harness) addServer(service string) (*server, error) {
	h.mu.Lock()
	h.serverCount++
	id := fmt.Sprintf("s-%d", h.serverCount)
	h.mu.Unlock()
	s := &server{Server: stand.NewServer(id, service, fmt.Sprintf("d%d", h.serverCount%2))}
	s.WorkTime = 15 * time.Millisecond
	if service == serviceLLM {
		s.NumEvents, s.EventGap = 8, 40*time.Millisecond
	}
	s.Server.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		a := arrival{id: stand.RequestID(r), server: id, service: service, at: time.Now()}
		h.checker.locked(func() { h.checker.arrivals = append(h.checker.arrivals, a) })
		return false
	}
	var err error
	if s.link, err = newProxy(s.Address()); err != nil {
		return nil, err
	}
	s.AdvertisedAddress = s.link.address()
	h.mu.Lock()
	h.servers = append(h.servers, s)
	h.mu.Unlock()
	h.store.PutEntry(s.Server, stand.Ready)
	return s, nil
}

// drawKey returns the key that stays or, now and then, one that a version had.
func (h *harness) drawKey(rng *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rng.Float64() >= otherKeyRatio {
		return callerKey
	}
	return h.issuedKeys[max(0, len(h.issuedKeys)-2*keysPerVersion)+rng.IntN(min(2*keysPerVersion, len(h.issuedKeys)))]
}

// activeServers returns the servers that are not leaving.
func (h *harness) activeServers() []*server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*server
	for _, s := range h.servers {
		if !s.retired {
			out = append(out, s)
		}
	}
	return out
}

// putConfig writes the next version, by which routeMoves goes to a service.
func (h *harness) putConfig(reassignedTo string) {
	h.mu.Lock()
	h.lastVersion += 1 + h.lastVersion%3
	number := h.lastVersion
	// Each version has one new key; the two before stay.
	h.issuedKeys = append(h.issuedKeys, fmt.Sprintf("key-%d", number))
	h.keys = append([]string{callerKey}, h.issuedKeys[max(0, len(h.issuedKeys)-keysPerVersion):]...)
	v := version{number: number, service: reassignedTo, keys: h.keys, sent: time.Now()}
	h.mu.Unlock()
	routes := []stand.Route{
		{Name: routeBook, Service: serviceDesk, Kind: stand.NonIdempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeStatus, Service: serviceDesk, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeDraft, Service: serviceLLM, Kind: stand.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second, Stages: []string{servicePhotos, servicePhotos}},
		{Name: routeReassigned, Service: reassignedTo, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
	}
	services := []stand.Service{{Name: serviceDesk}, {Name: serviceAlternate}, {Name: serviceLLM, Engine: true}, {Name: servicePhotos, Pieces: true}}
	h.store.PutConfig(number, map[string][]string{"roofs": v.keys}, services, routes)
	v.acked = time.Now()
	h.checker.locked(func() { h.checker.versions = append(h.checker.versions, v) })
}

// waitReady waits until every instance is ready.
func (h *harness) waitReady(ctx context.Context) error {
	for _, in := range h.instances {
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
func (h *harness) close() error {
	var errs []error
	for _, in := range h.instances {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		_, exited := in.currentProcess()
		select {
		case <-exited:
		case <-time.After(5 * time.Second):
			errs = append(errs, fmt.Errorf("instance %d does not end", in.number))
		}
		in.storeLink.close()
	}
	h.checker.locked(func() {
		for _, s := range h.servers {
			for id := range h.checker.requests {
				h.checker.runs[id] += s.Runs(id)
			}
		}
	})
	for _, s := range h.servers {
		s.link.close()
		s.Close()
	}
	h.store.Close()
	return errors.Join(errs...)
}
