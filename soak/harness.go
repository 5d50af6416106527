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

// Routes and services of the configuration. Depending on its version, routeReassigned
// goes to serviceDesk or to serviceAlternate.
const (
	routeBook       = "book"
	routeStatus     = "status"
	routeDraft      = "draft"
	routeReassigned = "moves"
	// routeOrder has large requests and answers, and routeChat streams that must not be
	// resumed.
	routeOrder = "order"
	routeChat  = "chat"
	// routeNote has streams that may be resumed, at a service with a single server.
	routeNote = "note"

	serviceDesk      = "desk"
	serviceAlternate = "moved"
	serviceLLM       = "llm"
	servicePhotos    = "photos"
	serviceLone      = "lone"

	// keysPerVersion is how many of the latest issued keys a version has besides
	// callerKey. otherKeyRatio is the fraction of requests that use one of these keys
	// or a recently revoked one.
	keysPerVersion = 3
	otherKeyRatio  = 0.2

	// maxSeeds is how many instances the settings of each name as seeds.
	maxSeeds = 3
)

type (
	// harness holds the instances under test and the stand-ins that they use.
	harness struct {
		dir, binary string
		checker     *checker
		store       *stand.Store
		// evacuations is set if the instances follow evacuations.
		evacuations bool

		mu        sync.Mutex
		instances []*instance
		// servers includes those that were withdrawn or have crashed.
		servers     []*server
		lastVersion int
		serverCount int
		// keys are the keys of the newest version, and issuedKeys all keys that any
		// version had, except callerKey.
		keys       []string
		issuedKeys []string
	}

	// instance is an entry instance. It runs one process at a time, and each restart
	// starts a new one.
	instance struct {
		number          int
		callerAddress   string
		operatorAddress string
		peerAddress     string
		// storeLink is the proxy through which the instance reaches the store.
		storeLink *proxy

		mu            sync.Mutex
		cmd           *exec.Cmd
		processNumber int
		// exited is closed when the current process has exited.
		exited chan struct{}
	}

	// server is the stand-in for a server, with the proxy through which instances
	// reach it.
	server struct {
		*stand.Server
		link *proxy
		// retired is set once the server is being withdrawn or has crashed.
		retired bool
		// silentAgainAt is when the server may fall silent again. Only the goroutine that
		// injects calmFaults uses it.
		silentAgainAt time.Time
	}
)

// newHarness starts the stand-ins, writes the first version of the configuration, and
// starts the instances.
func newHarness(dir, binary string, o options) (*harness, error) {
	h := &harness{dir: dir, binary: binary, checker: newChecker(o.RepeatSlack), store: stand.NewStore(), evacuations: !o.NoEvacuation}
	for _, service := range []string{serviceDesk, serviceDesk, serviceDesk, serviceAlternate, serviceAlternate, serviceLLM, serviceLLM, serviceLLM, serviceLone, servicePhotos, servicePhotos} {
		if _, err := h.addServer(service); err != nil {
			return nil, err
		}
	}
	h.putConfig(serviceDesk)
	seeds := []string{}
	for i := range o.Instances {
		link, err := newProxy(h.store.Address())
		if err != nil {
			return nil, err
		}
		address := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", o.Port+3*i+k) }
		in := &instance{number: i, callerAddress: address(0), peerAddress: address(1), operatorAddress: address(2), storeLink: link}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, in.peerAddress)
		}
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
coldOver = %v
coldSlack = %v
`, in.number, in.number%2, in.callerAddress, in.peerAddress, in.operatorAddress, strings.Join(seeds, ", "), in.storeLink.address(),
		drainTimeout, configPropagation, gracePeriod, retryRatio, h.checker.retrySlack, retryWindow, coldOver, coldSlack)
	if h.evacuations {
		text += fmt.Sprintf("evacuation = %v\n", evacuationBound)
	}
	text += "[overload]\nsharedSlots = yes\n"
	return os.WriteFile(h.settingsFile(in), []byte(text), 0o600)
}

// startProcess starts a process for an instance. The instance counts as disturbed until
// the process is ready or has exited.
func (h *harness) startProcess(in *instance) error {
	end := h.checker.beginDisturbance(in.number)
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.dir, fmt.Sprintf("entry-%d.log", in.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of a process: %w", err)
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
		// The exit status is not an error: processes are ended by signals.
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

// signal sends a signal to the current process, if it has not exited.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
	default:
		// The process may exit concurrently, which makes this fail.
		_ = in.cmd.Process.Signal(sig)
	}
}

// currentProcess returns the number of the current process, counted from 1, and a
// channel that is closed when it has exited.
func (in *instance) currentProcess() (number int, exited <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.processNumber, in.exited
}

// addServer starts a server behind a proxy and adds it to the store's list.
func (h *harness) addServer(service string) (*server, error) { return h.addColdServer(service, 0) }

// addColdServer is addServer for a server that is cold for some time from its start on.
func (h *harness) addColdServer(service string, cold time.Duration) (*server, error) {
	h.mu.Lock()
	h.serverCount++
	id := fmt.Sprintf("s-%d", h.serverCount)
	h.mu.Unlock()
	s := &server{Server: stand.NewServer(id, service, zoneOf(h.serverCount))}
	s.WorkTime, s.AnswerGap, s.Echo = 15*time.Millisecond, 10*time.Millisecond, true
	if service == serviceAlternate {
		// Fewer slots than instances, so that the owner of the service gives them.
		s.Slots = 1
	}
	if service == serviceLLM || service == serviceLone {
		s.NumEvents, s.EventGap = 8, 80*time.Millisecond
		s.Pace, s.Noise = enginePaces[h.serverCount%len(enginePaces)], 0.2
		s.CrashParts, s.CrashAfter = []string{crashPart}, h.serverCount%2
		s.Crashed = func() { h.engineCrashed(s) }
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
	if cold > 0 {
		from := time.Now()
		s.TurnCold(cold)
		h.checker.addColdPeriod(coldPeriod{server: id, from: from, until: from.Add(cold), started: true})
	}
	h.store.PutEntry(s.Server, stand.Ready)
	return s, nil
}

// drawKey returns callerKey, which is always valid, or with probability otherKeyRatio
// one of the latest issued keys, which may have been revoked.
func (h *harness) drawKey(rng *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rng.Float64() >= otherKeyRatio {
		return callerKey
	}
	return h.issuedKeys[max(0, len(h.issuedKeys)-2*keysPerVersion)+rng.IntN(min(2*keysPerVersion, len(h.issuedKeys)))]
}

// activeServers returns the servers that were not withdrawn and have not crashed.
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

// putConfig writes the next version of the configuration, in which routeReassigned goes
// to the given service.
func (h *harness) putConfig(reassignedTo string) {
	h.mu.Lock()
	h.lastVersion += 1 + h.lastVersion%3
	number := h.lastVersion
	// Each version adds a key and, besides callerKey, keeps the two issued before it.
	h.issuedKeys = append(h.issuedKeys, fmt.Sprintf("key-%d", number))
	h.keys = append([]string{callerKey}, h.issuedKeys[max(0, len(h.issuedKeys)-keysPerVersion):]...)
	v := version{number: number, service: reassignedTo, keys: h.keys, sent: time.Now()}
	h.mu.Unlock()
	routes := []stand.Route{
		{Name: routeBook, Service: serviceDesk, Kind: stand.NonIdempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeStatus, Service: serviceDesk, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
		{Name: routeDraft, Service: serviceLLM, Kind: stand.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second, Stages: []string{servicePhotos, servicePhotos}},
		{Name: routeOrder, Service: serviceDesk, Kind: stand.NonIdempotent, Timeout: 4 * time.Second, TargetLatency: time.Second},
		{Name: routeChat, Service: serviceLLM, Kind: stand.Streaming, Timeout: 4 * time.Second, TargetLatency: time.Second},
		{Name: routeNote, Service: serviceLone, Kind: stand.Streaming, Resumable: true, Timeout: 4 * time.Second, TargetLatency: time.Second},
		{Name: routeReassigned, Service: reassignedTo, Kind: stand.Idempotent, Timeout: 1500 * time.Millisecond, TargetLatency: 300 * time.Millisecond},
	}
	services := []stand.Service{
		{Name: serviceDesk, ColdRate: coldRate}, {Name: serviceAlternate, ColdRate: coldRate}, {Name: serviceLLM, Engine: true, ColdRate: coldRate},
		{Name: serviceLone, Engine: true, ColdRate: coldRate}, {Name: servicePhotos, Pieces: true, ColdRate: coldRate},
	}
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

// close kills the processes, reads the numbers of runs from the servers, and closes the
// stand-ins and proxies.
func (h *harness) close() error {
	var errs []error
	for _, in := range h.instances {
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		_, exited := in.currentProcess()
		select {
		case <-exited:
		case <-time.After(5 * time.Second):
			errs = append(errs, fmt.Errorf("instance %d did not exit within 5 s", in.number))
		}
		in.storeLink.close()
	}
	h.checker.locked(func() {
		for _, s := range h.servers {
			for id := range h.checker.requests {
				h.checker.runs[id] += s.Runs(id)
				if s.FailedAfterRun(id) {
					h.checker.failedAfterRun[id] = true
				}
			}
			h.checker.pieceRuns = append(h.checker.pieceRuns, s.PieceRuns()...)
			for _, a := range s.Arrivals() {
				h.checker.notices = append(h.checker.notices, notice{s.ID, a, s.Zone})
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
