// Package demo hosts a whole deployment in one process on loopback: stand-ins for
// the platform and the endpoints, several entry instances, and callers. It checks
// that the system keeps its promises, and writes a report.
//
// It is for trying the system out and for testing it under load and faults. Its entry
// instances run the same code as `chervilpath entry`. Serving code must not
// import this package.
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
	// The time that the stand-ins of endpoints take for their work.
	firstTokenDelay = 40 * time.Millisecond
	tokenInterval   = 2 * time.Millisecond
	stageLatency    = 15 * time.Millisecond

	// reportLag is the age of the load that endpoints report, and listLag the time
	// until a change of an endpoint's entry shows in the platform's list.
	reportLag = 300 * time.Millisecond
	listLag   = 500 * time.Millisecond

	peerPort = "8081"

	// peerSecret need not be secret, because a demo listens on loopback only.
	peerSecret = "the demo's secret is no secret"
)

// addressCount is the number of entry instances and endpoints that this process has
// created. It gives each of them an IP address of its own.
var addressCount atomic.Int64

type (
	// Deployment is one operator's declarations, with the entry instances and
	// stand-ins that serve them.
	Deployment struct {
		name     string
		set      *declare.Set
		platform *stand.Store
		// publisher is shared by all publications: it keeps what it has published,
		// so that it can publish even while the store returns damaged reads.
		publisher *publish.Publisher
		servers   map[string]*endpointServer
		// addresses are the listening addresses of the endpoints' stand-ins, by
		// endpoint name.
		addresses map[string]string
		log       *zap.Logger
		// platformAddress is the listening address of the platform's stand-in.
		platformAddress string
		closers         []func()

		mu        sync.Mutex
		instances []*instance
	}

	// instance is one entry instance. It has its own kernel, as it would have in its
	// own process.
	instance struct {
		*node.Instance
		kernel      *kernel.Kernel
		peerAddress string
		// removed is set once the instance has been drained or has crashed.
		removed bool
	}

	// endpointServer is the stand-in for one declared endpoint.
	endpointServer struct {
		counts    func() standin.ServerCounts
		setFaults func(standin.ServerFaults)
		server    *http.Server
		// engine is nil if the endpoint is not an engine.
		engine *standin.Engine
	}
)

// New starts stand-ins for the platform and for the endpoints declared in dir,
// publishes the declarations, and creates the given number of entry instances, which
// Start starts.
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
		if _, err := d.newInstance(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// readFragments reads the declaration files in dir.
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

// startEndpoints starts a stand-in for each declared endpoint. It returns the
// fragments with the declared addresses replaced by those of the stand-ins.
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

// startEndpoint starts the stand-in for an endpoint, adds it to the platform's list of
// servers, and returns its address.
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
	// At an address of its own, its port is not given to another server after it has
	// crashed.
	l, err := net.Listen("tcp", net.JoinHostPort(loopbackIP(), "0"))
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

// serve serves h on a free loopback port until the deployment is stopped, and
// returns the address.
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

// newInstance creates one more entry instance and adds it to d.instances, without
// starting it. Its failure domain is that of one of the first three endpoints, in turn.
func (d *Deployment) newInstance() (*instance, error) {
	ip := loopbackIP()
	peerAddress := net.JoinHostPort(ip, peerPort)
	endpoint, _ := d.set.Endpoint(d.set.EndpointNames()[len(d.instances)%3])
	var seeds []string
	for _, in := range d.instances {
		if !in.removed {
			seeds = append(seeds, in.peerAddress)
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
`, d.name, len(d.instances)+1, endpoint.FailureDomain(), ip, peerAddress, ip, d.platformAddress, strings.Join(seeds, ", "))
	cfg, err := settings.ParseEntry("demo.ini", []byte(text), func(string) ([]byte, error) { return []byte(peerSecret), nil })
	if err != nil {
		return nil, err
	}
	in := &instance{kernel: kernel.New(), peerAddress: peerAddress}
	if in.Instance, err = node.New(in.kernel, cfg, d.log); err != nil {
		return nil, err
	}
	d.instances = append(d.instances, in)
	return in, nil
}

// loopbackIP returns a loopback address that no other instance or endpoint of this
// process uses, so that all instances can listen on the same fixed ports. It depends on
// the process ID, so that demos that run at the same time on one host rarely collide.
func loopbackIP() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, n/250%250, 1+n%250)
}

// Start starts the entry instances one after the other and waits until each is ready.
func (d *Deployment) Start(ctx context.Context) error {
	for _, in := range d.instances {
		if err := in.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (in *instance) start(ctx context.Context) error {
	if err := in.kernel.Start(ctx); err != nil {
		return err
	}
	for !in.Status().Ready {
		select {
		case <-ctx.Done():
			return fmt.Errorf("instance %s did not become ready: %w", in.Name(), ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// AddInstance starts one more entry instance and waits until it is ready.
func (d *Deployment) AddInstance(ctx context.Context) error {
	d.mu.Lock()
	e, err := d.newInstance()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	return e.start(ctx)
}

// StopInstance drains and stops the entry instance with index i.
func (d *Deployment) StopInstance(ctx context.Context, i int) error {
	in := d.instances[i]
	return errors.Join(in.kernel.Drain(ctx), d.markRemoved(in), in.kernel.Stop(ctx))
}

// markRemoved removes an instance from load balancing. Its error is always nil.
func (d *Deployment) markRemoved(in *instance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	in.removed = true
	return nil
}

// Stop drains and stops all entry instances, and then closes the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	var errs []error
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, in := range d.instances {
		if in.removed {
			continue
		}
		wg.Go(func() {
			err := d.StopInstance(ctx, i)
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

// CrashInstance ends the entry instance with index i abruptly, as the loss of its process
// would, and returns its name.
func (d *Deployment) CrashInstance(i int) string {
	in := d.instances[i]
	_ = d.markRemoved(in)
	in.Crash()
	return in.Name()
}

// CrashEndpoint closes an endpoint's stand-in without notice.
func (d *Deployment) CrashEndpoint(name string) {
	_ = d.servers[name].server.Close()
}

// readyInstances returns the entry instances that the load balancer sends requests to:
// those that are ready and have been neither stopped nor crashed.
func (d *Deployment) readyInstances() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*instance
	for _, in := range d.instances {
		if !in.removed && in.Ready() {
			out = append(out, in)
		}
	}
	return out
}

// runs returns how often each request ran at the endpoints of services, by stage and
// run ID.
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

// countedUnits returns the units that the stand-ins counted, by organisation and
// stage.
func (d *Deployment) countedUnits() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range d.servers {
		for k, v := range s.counts().Units {
			out[k] += v
		}
	}
	return out
}

// attributedCost returns the sums of the cost records that reached the platform's
// store, on the day of since and, if it is a different one, today.
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
