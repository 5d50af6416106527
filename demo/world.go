// Package demo hosts a whole deployment in one process on loopback: stand-ins
// for the platform and the endpoints, several entry instances, and callers. It
// checks what must hold and reports what it saw.
//
// It is for trying the product out and for its own proof. The serving
// instances in it are the ones that `chervilpath entry` runs.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/io/standin"
	"chervilpath/node"
	"chervilpath/platform/stand"
)

const (
	firstTokenDelay = 40 * time.Millisecond
	tokenInterval   = 2 * time.Millisecond
	stageLatency    = 15 * time.Millisecond
	reportLag       = 300 * time.Millisecond
	listLag         = 500 * time.Millisecond
	peerPort        = "8081"

	// peerSecret is known to everybody; a demo listens on loopback only.
	peerSecret = "the demo's secret is no secret"
)

// instanceCount counts the instances that this process has made.
var instanceCount atomic.Int64

type (
	// Deployment is one operator's declarations with all that serves them.
	Deployment struct {
		name     string
		set      *declare.Set
		platform *stand.Store
		// publisher keeps what it published, so that it can also publish while
		// reads are damaged.
		publisher *publish.Publisher
		servers   map[string]*endpointServer
		// addresses holds where each endpoint's stand-in listens, by name.
		addresses map[string]string
		log       *zap.Logger
		// platformAddress is where the platform's stand-in listens.
		platformAddress string
		closers         []func()

		mu      sync.Mutex
		entries []*entry
	}

	// entry is one entry instance in a kernel of its own, as it would be in a
	// process of its own.
	entry struct {
		*node.Instance
		kernel      *kernel.Kernel
		peerAddress string
		removed     bool
	}

	// endpointServer is the stand-in behind one declared endpoint.
	endpointServer struct {
		counts    func() standin.ServerCounts
		setFaults func(standin.ServerFaults)
		server    *http.Server
		// engine is nil if the endpoint is none.
		engine *standin.Engine
	}
)

// New starts the stand-ins for the declaration files in dir, publishes the
// declarations, and adds the given number of entry instances to a kernel.
func New(ctx context.Context, files fs.FS, dir string, instances int, log *zap.Logger) (*Deployment, error) {
	d := &Deployment{
		name:      path.Base(dir),
		log:       log,
		platform:  stand.New(time.Now),
		servers:   make(map[string]*endpointServer),
		addresses: make(map[string]string),
	}
	d.platform.SetEntryLag(listLag)
	fragments, err := readFragments(files, dir)
	if err != nil {
		return nil, err
	}
	if fragments, err = d.startEndpoints(fragments); err != nil {
		return nil, err
	}
	d.platformAddress, err = d.serve(d.platform)
	if err != nil {
		return nil, err
	}
	d.publisher = publish.New(d.platform.Objects(), time.Now)
	if _, err := d.publisher.Publish(ctx, publish.Change{Fragments: fragments, By: "demo", ID: "demo-1"}); err != nil {
		return nil, fmt.Errorf("publishing the declarations of %s: %w", d.name, err)
	}
	for range instances {
		if _, err := d.newEntry(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func readFragments(files fs.FS, dir string) ([]declare.Fragment, error) {
	names, err := fs.Glob(files, path.Join(dir, "*.ini"))
	if err != nil || len(names) == 0 {
		return nil, fmt.Errorf("no declarations in %s: %w", dir, errors.Join(err, fs.ErrNotExist))
	}
	var out []declare.Fragment
	for _, name := range names {
		data, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, fmt.Errorf("reading declarations: %w", err)
		}
		out = append(out, declare.Fragment{Name: path.Base(name), Data: data})
	}
	return out, nil
}

func buildSet(fragments []declare.Fragment) (*declare.Set, error) {
	set, problems := declare.Build(fragments)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("declarations of the example: %w", err)
	}
	return set, nil
}

// startEndpoints starts a stand-in for each declared endpoint and returns the
// fragments with the addresses at which they listen.
func (d *Deployment) startEndpoints(fragments []declare.Fragment) ([]declare.Fragment, error) {
	set, err := buildSet(fragments)
	if err != nil {
		return nil, err
	}
	d.set = set
	replacements := []string{}
	for _, name := range set.EndpointNames() {
		e, _ := set.Endpoint(name)
		address, err := d.startEndpoint(e)
		if err != nil {
			return nil, err
		}
		replacements = append(replacements, "address = "+e.Address()+"\n", "address = http://"+address+"\n")
	}
	replacer := strings.NewReplacer(replacements...)
	out := make([]declare.Fragment, len(fragments))
	for i, f := range fragments {
		out[i] = declare.Fragment{Name: f.Name, Data: []byte(replacer.Replace(string(f.Data)))}
	}
	return out, nil
}

func (d *Deployment) startEndpoint(e *declare.Endpoint) (string, error) {
	var h http.Handler
	s := &endpointServer{}
	if e.Kind() == "engine" {
		engine := standin.NewEngine(standin.EngineConfig{
			Name: e.Name(), Slots: e.Slots(), FirstTokenTime: firstTokenDelay, TokenTime: tokenInterval, ReportLag: reportLag,
			CachedPrefixes: 64, Models: e.Models(), Adapters: e.Adapters(), Role: e.Role(), RefusesOldFence: e.RefusesOldFence(),
		})
		s.engine = engine
		h, s.counts, s.setFaults = engine.Handler(), engine.Counts, engine.SetFaults
	} else {
		stage := standin.NewStage(standin.StageConfig{Name: e.Name(), Slots: e.Slots(), UnitTime: stageLatency, ReportLag: reportLag})
		h, s.counts, s.setFaults = stage.Handler(), stage.Counts, stage.SetFaults
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("starting endpoint %q: %w", e.Name(), err)
	}
	s.server = &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	go func() { _ = s.server.Serve(l) }()
	d.servers[e.Name()] = s
	d.closers = append(d.closers, func() { _ = s.server.Close() })
	d.addresses[e.Name()] = l.Addr().String()
	d.platform.PutServer(e.Name(), l.Addr().String(), e.FailureDomain(), stand.Ready)
	return l.Addr().String(), nil
}

// serve serves h on a free port of loopback.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	go func() { _ = server.Serve(l) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// newEntry makes one more entry instance and does not start it.
func (d *Deployment) newEntry() (*entry, error) {
	ip := instanceIP()
	peerAddress := net.JoinHostPort(ip, peerPort)
	endpoint, _ := d.set.Endpoint(d.set.EndpointNames()[len(d.entries)%3])
	var seeds []string
	for _, e := range d.entries {
		if !e.removed {
			seeds = append(seeds, e.peerAddress)
		}
	}
	text := fmt.Sprintf(`[instance]
name = %s-entry-%d
failureDomain = %s
callerAddress = %s:8080
peerAddress = %s
operatorAddress = %s:8082
[platform]
url = http://%s
[peers]
seeds = %s
secretFile = secret
[limits]
drain = 10s
notice = 500ms
costWindow = 1s
`, d.name, len(d.entries)+1, endpoint.FailureDomain(), ip, peerAddress, ip, d.platformAddress, strings.Join(seeds, ", "))
	cfg, err := settings.ParseEntry("demo.ini", []byte(text), func(string) ([]byte, error) { return []byte(peerSecret), nil })
	if err != nil {
		return nil, err
	}
	e := &entry{kernel: kernel.New(), peerAddress: peerAddress}
	if e.Instance, err = node.New(e.kernel, cfg, d.log); err != nil {
		return nil, err
	}
	d.entries = append(d.entries, e)
	return e, nil
}

// instanceIP returns an address of loopback that no other instance on this
// machine has, so that instances can listen on fixed ports.
func instanceIP() string {
	n := instanceCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, n/250%250, 1+n%250)
}

// Start starts the entry instances and waits until they are ready.
func (d *Deployment) Start(ctx context.Context) error {
	for _, e := range d.entries {
		if err := e.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (e *entry) start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	for !e.Status().Ready {
		select {
		case <-ctx.Done():
			return fmt.Errorf("instance %s did not become ready: %w", e.Name(), ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// AddEntry starts one more entry instance.
func (d *Deployment) AddEntry(ctx context.Context) error {
	d.mu.Lock()
	e, err := d.newEntry()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	return e.start(ctx)
}

// StopEntry drains and stops an entry instance, the first having number 0.
func (d *Deployment) StopEntry(ctx context.Context, i int) error {
	e := d.entries[i]
	return errors.Join(e.kernel.Drain(ctx), d.markRemoved(e), e.kernel.Stop(ctx))
}

// markRemoved takes an instance out of the balancer.
func (d *Deployment) markRemoved(e *entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.removed = true
	return nil
}

// Stop drains and stops everything.
func (d *Deployment) Stop(ctx context.Context) error {
	var errs []error
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, e := range d.entries {
		if e.removed {
			continue
		}
		wg.Go(func() {
			err := d.StopEntry(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wg.Wait()
	for _, f := range d.closers {
		f()
	}
	return errors.Join(errs...)
}

// CrashEntry ends an entry instance as the loss of its process would, and
// returns its name.
func (d *Deployment) CrashEntry(i int) string {
	e := d.entries[i]
	_ = d.markRemoved(e)
	e.Crash()
	return e.Name()
}

// CrashEndpoint ends an endpoint's stand-in.
func (d *Deployment) CrashEndpoint(name string) {
	_ = d.servers[name].server.Close()
}

// readyEntries returns the entry instances that the balancer gives to callers: those
// that are not lost and are ready.
func (d *Deployment) readyEntries() []*entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*entry
	for _, e := range d.entries {
		if !e.removed && e.Ready() {
			out = append(out, e)
		}
	}
	return out
}

// runs returns how often each request ran at the endpoints of all services.
func (d *Deployment) runs() map[string]int {
	out := make(map[string]int)
	for name, s := range d.servers {
		e, _ := d.set.Endpoint(name)
		if e.Kind() != "service" {
			continue
		}
		for id, n := range s.counts().Runs {
			out[id] += n
		}
	}
	return out
}

// countedUnits returns the units that the stand-ins counted, by organisation and stage.
func (d *Deployment) countedUnits() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range d.servers {
		for k, v := range s.counts().Units {
			out[k] += v
		}
	}
	return out
}

// attributedCost returns the cost that reached the platform's store.
func (d *Deployment) attributedCost(ctx context.Context, since time.Time) ([]cost.Line, error) {
	store := d.platform.Objects()
	windows, err := cost.Read(ctx, store, since, -1)
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.UTC().Day() != since.UTC().Day() {
		today, err := cost.Read(ctx, store, now, -1)
		if err != nil {
			return nil, err
		}
		windows = append(windows, today...)
	}
	return cost.Sum(windows), nil
}
