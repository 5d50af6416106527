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
	"path"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/io/standin"
	"chervilpath/node"
)

const (
	firstToken = 40 * time.Millisecond
	tokenTime  = 2 * time.Millisecond
	stageTime  = 15 * time.Millisecond
	reportLag  = 300 * time.Millisecond
	listLag    = 500 * time.Millisecond

	// peerSecret is known to everybody; a demo listens on loopback only.
	peerSecret = "the demo's secret is no secret"
)

type (
	// Deployment is one operator's declarations with all that serves them.
	Deployment struct {
		name     string
		set      *declare.Set
		kernel   *kernel.Kernel
		platform *standin.Platform
		servers  map[string]*endpointServer
		entries  []*node.Instance
		closers  []func()

		mu      sync.Mutex
		crashed map[string]bool
	}

	// endpointServer is the stand-in behind one declared endpoint.
	endpointServer struct {
		counts func() standin.ServerCounts
		faults func(standin.ServerFaults)
		server *http.Server
	}
)

// New starts the stand-ins for the declaration files in dir, publishes the
// declarations, and adds the given number of entry instances to a kernel.
func New(ctx context.Context, files fs.FS, dir string, instances int, log *zap.Logger) (*Deployment, error) {
	d := &Deployment{
		name:     path.Base(dir),
		kernel:   kernel.New(),
		platform: standin.NewPlatform(listLag),
		servers:  make(map[string]*endpointServer),
		crashed:  make(map[string]bool),
	}
	fragments, err := readFragments(files, dir)
	if err != nil {
		return nil, err
	}
	if fragments, err = d.startEndpoints(fragments); err != nil {
		return nil, err
	}
	platformAddress, err := d.serve(d.platform.Handler())
	if err != nil {
		return nil, err
	}
	p := publish.New(d.platform.Objects().Store(), time.Now)
	if _, err := p.Publish(ctx, publish.Change{Fragments: fragments, By: "demo", ID: "demo-1"}); err != nil {
		return nil, fmt.Errorf("publishing the declarations of %s: %w", d.name, err)
	}
	return d, d.addEntries(instances, platformAddress, log)
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

// startEndpoints starts a stand-in for each declared endpoint and returns the
// fragments with the addresses at which they listen.
func (d *Deployment) startEndpoints(fragments []declare.Fragment) ([]declare.Fragment, error) {
	set, problems := declare.Build(fragments)
	if err := problems.Err(); err != nil {
		return nil, fmt.Errorf("declarations of %s: %w", d.name, err)
	}
	d.set = set
	moved := []string{}
	for _, name := range set.Endpoints() {
		e, _ := set.Endpoint(name)
		address, err := d.startEndpoint(e)
		if err != nil {
			return nil, err
		}
		moved = append(moved, "address = "+e.Address()+"\n", "address = http://"+address+"\n")
	}
	replacer := strings.NewReplacer(moved...)
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
			Name: e.Name(), Slots: e.Slots(), FirstToken: firstToken, Token: tokenTime, Lag: reportLag,
			CachedPrefixes: 64, Models: e.Models(), ChecksFence: e.RefusesOldFence(),
		})
		h, s.counts, s.faults = engine.Handler(), engine.Counts, engine.SetFaults
	} else {
		stage := standin.NewStage(standin.StageConfig{Name: e.Name(), Slots: e.Slots(), Time: stageTime, Lag: reportLag})
		h, s.counts, s.faults = stage.Handler(), stage.Counts, stage.SetFaults
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("starting endpoint %q: %w", e.Name(), err)
	}
	s.server = &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	go func() { _ = s.server.Serve(l) }()
	d.servers[e.Name()] = s
	d.closers = append(d.closers, func() { _ = s.server.Close() })
	d.platform.SetInstance(standin.Instance{Name: e.Name(), Address: l.Addr().String(), FailureDomain: e.FailureDomain(), State: "live"})
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

func (d *Deployment) addEntries(n int, platformAddress string, log *zap.Logger) error {
	ports, err := freeAddresses(3 * n)
	if err != nil {
		return err
	}
	domains := []string{}
	for _, name := range d.set.Endpoints() {
		e, _ := d.set.Endpoint(name)
		domains = append(domains, e.FailureDomain())
	}
	for i := range n {
		text := fmt.Sprintf(`[instance]
name = %s-entry-%d
failureDomain = %s
callerAddress = %s
peerAddress = %s
operatorAddress = %s
[platform]
url = http://%s
[peers]
seeds = %s, %s
secretFile = secret
[limits]
drain = 10s
costWindow = 1s
`, d.name, i+1, domains[i%len(domains)], ports[3*i], ports[3*i+1], ports[3*i+2], platformAddress, ports[1], ports[(3*n)-2])
		cfg, err := settings.ParseEntry("demo.ini", []byte(text), func(string) ([]byte, error) { return []byte(peerSecret), nil })
		if err != nil {
			return err
		}
		entry, err := node.New(d.kernel, cfg, log)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
	}
	return nil
}

// freeAddresses returns addresses of loopback on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Start starts the entry instances and waits until they are ready.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	for _, e := range d.entries {
		for !e.Status().Ready {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %s did not become ready: %w", e.Name(), ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Stop drains and stops everything.
func (d *Deployment) Stop(ctx context.Context) error {
	err := errors.Join(d.kernel.Drain(ctx), d.kernel.Stop(ctx))
	for _, f := range d.closers {
		f()
	}
	return err
}

// CrashEntry ends an entry instance as the loss of its process would.
func (d *Deployment) CrashEntry(i int) string {
	e := d.entries[i%len(d.entries)]
	d.mu.Lock()
	d.crashed[e.Name()] = true
	d.mu.Unlock()
	e.Crash()
	return e.Name()
}

// CrashEndpoint ends an endpoint's stand-in.
func (d *Deployment) CrashEndpoint(name string) {
	_ = d.servers[name].server.Close()
}

// live returns the entry instances that were not crashed.
func (d *Deployment) live() []*node.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*node.Instance
	for _, e := range d.entries {
		if !d.crashed[e.Name()] {
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

// counted returns the units that the stand-ins counted, by organisation and stage.
func (d *Deployment) counted() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range d.servers {
		for k, v := range s.counts().Units {
			out[k] += v
		}
	}
	return out
}

// attributed returns the cost that reached the platform's store.
func (d *Deployment) attributed(ctx context.Context, since time.Time) ([]cost.Line, error) {
	store := d.platform.Objects().Store()
	windows, err := cost.Read(ctx, store, since, -1)
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.UTC().Day() != since.UTC().Day() {
		more, err := cost.Read(ctx, store, now, -1)
		if err != nil {
			return nil, err
		}
		windows = append(windows, more...)
	}
	return cost.Sum(windows), nil
}
