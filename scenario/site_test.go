package scenario_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"chervilpath/core/kernel"
	"chervilpath/core/settings"
	"chervilpath/edge"
	"chervilpath/platform/stand"
)

const (
	siteService = "desk"

	sitePeerPort = "8081"
	siteKey      = "key-of-sandton"
)

// siteCount is the number of instances that this process has started.
var siteCount atomic.Int64

// site is a deployment of routes on the platform's stand-in: instances before servers of
// one plain service.
type site struct {
	store     *stand.Store
	servers   map[string]*stand.Server
	instances []siteInstance
	sent      atomic.Int64
	// counts holds the numbers of requests that note-requests recorded.
	counts map[string]int
}

type siteInstance struct {
	kernel                         *kernel.Kernel
	callerAddress, operatorAddress string
}

// siteCommands are the commands of scripts about routes on the platform.
var siteCommands = map[string]command{
	// site INSTANCES SERVER...: start instances before the named servers.
	"site": startSite,
	// server NAME leaving: have its answers say that it is leaving. server NAME rest
	// DURATION: have it refuse requests for that time, and say so. server NAME
	// restart: start it again under the same name and address.
	"server": changeServer,
	// store down|up: take the store down, or up again.
	"store": changeStore,
	// look N: send N requests through each instance, which have to be answered.
	"look": look,
	// refused MINIMUM: send a request, which has to be refused at once with a
	// Retry-After of at least that duration.
	"refused": expectRefusal,
	// look-until NAME: send requests, a few at a time, until one has reached the server.
	"look-until": lookUntil,
	// note-requests NAME: record the number of requests that have reached the server.
	// no-new-requests NAME: check that it has not changed since.
	"note-requests": func(_ *testscript.TestScript, s *state, args []string) {
		s.site.counts[args[0]] = s.site.arrived(args[0])
	},
	"no-new-requests": checkNoNewRequests,
}

func startSite(ts *testscript.TestScript, s *state, args []string) {
	s.site = &site{store: stand.NewStore(), servers: make(map[string]*stand.Server), counts: make(map[string]int)}
	for _, name := range args[1:] {
		s.site.servers[name] = stand.NewServer(name, siteService, "a")
		s.site.store.PutEntry(s.site.servers[name], stand.Ready)
	}
	s.site.store.PutConfig(1, map[string][]string{"sandton": {siteKey}}, []stand.Service{{Name: siteService}}, []stand.Route{
		{Name: "look", Service: siteService, Kind: stand.Idempotent, Timeout: 3 * time.Second, TargetLatency: 300 * time.Millisecond},
	})
	seeds := ""
	for i := range parseInt(ts, args[0]) {
		ip := siteIP()
		if i == 0 {
			seeds = net.JoinHostPort(ip, sitePeerPort)
		}
		s.site.startInstance(ts, fmt.Sprint("edge-", i), ip, seeds)
	}
	ts.Setenv("OPERATOR", s.site.instances[0].operatorAddress)
}

func (s *site) startInstance(ts *testscript.TestScript, name, ip, seeds string) {
	in := siteInstance{kernel: kernel.New(), callerAddress: net.JoinHostPort(ip, "8080"), operatorAddress: net.JoinHostPort(ip, "8082")}
	text := fmt.Sprintf("[site]\nname = %s\nfailureDomain = a\ncallerAddress = %s\npeerAddress = %s\noperatorAddress = %s\nseeds = %s\n[store]\naddress = %s\n",
		name, in.callerAddress, net.JoinHostPort(ip, sitePeerPort), in.operatorAddress, seeds, s.store.Address())
	cfg, err := settings.ParseSite("site.ini", []byte(text))
	ts.Check(err)
	_, err = edge.New(in.kernel, cfg, zap.NewNop(), func() int64 { return 0 })
	ts.Check(err)
	ts.Check(in.kernel.Start(context.Background()))
	s.instances = append(s.instances, in)
	until(ts, "an instance to be ready", func() bool {
		resp, err := http.Get("http://" + in.operatorAddress + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// stop stops the instances, the servers and the store.
func (s *site) stop(ctx context.Context) {
	for _, in := range s.instances {
		_ = in.kernel.Stop(ctx)
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.store.Close()
}

// siteIP returns a loopback address that no other instance of this process uses, and,
// as it depends on the process ID, hardly one of another process. The addresses of
// package demo have other second numbers.
func siteIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 216+pid%38, pid/38%250, 1+siteCount.Add(1)%250)
}

// until waits for a condition and fails the script if it does not hold within
// startTimeout.
func until(ts *testscript.TestScript, what string, condition func() bool) {
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			ts.Fatalf("waited %v for %s", startTimeout, what)
		}
	}
}

func changeServer(ts *testscript.TestScript, s *state, args []string) {
	server := s.site.servers[args[0]]
	switch args[1] {
	case "leaving":
		server.SayLeaving(true)
	case "rest":
		d, err := time.ParseDuration(args[2])
		ts.Check(err)
		server.RefuseFor(d)
	case "restart":
		server.SayLeaving(false)
		server.RefuseFor(0)
		server.Born++
		s.site.store.PutEntry(server, stand.Ready)
	default:
		ts.Fatalf("unknown change %q of a server", args[1])
	}
}

func changeStore(_ *testscript.TestScript, s *state, args []string) {
	s.site.store.SetFaults(stand.Faults{Down: args[0] == "down"})
}

// request sends a request through an instance and returns the response without its body.
func (s *site) request(ts *testscript.TestScript, in siteInstance) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.callerAddress+"/look/1", strings.NewReader("body"))
	ts.Check(err)
	req.Host = stand.Host
	req.Header.Set(stand.HeaderRequestID, fmt.Sprint("r-", s.sent.Add(1)))
	req.Header.Set(stand.HeaderDeadline, "3000")
	req.Header.Set("Authorization", "Bearer "+siteKey)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_, err = io.Copy(io.Discard, resp.Body)
	ts.Check(err)
	_ = resp.Body.Close()
	return resp
}

func look(ts *testscript.TestScript, s *state, args []string) {
	for range parseInt(ts, args[0]) {
		for _, in := range s.site.instances {
			if resp := s.site.request(ts, in); resp.StatusCode != http.StatusOK {
				ts.Fatalf("a request was answered with status %d", resp.StatusCode)
			}
		}
	}
}

func expectRefusal(ts *testscript.TestScript, s *state, args []string) {
	minimum, err := time.ParseDuration(args[0])
	ts.Check(err)
	start := time.Now()
	resp := s.site.request(ts, s.site.instances[0])
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if elapsed := time.Since(start); resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < minimum || elapsed > 500*time.Millisecond {
		ts.Fatalf("status %d with Retry-After %q after %v, want 503 at once and at least %v", resp.StatusCode, resp.Header.Get("Retry-After"), elapsed, minimum)
	}
}

func lookUntil(ts *testscript.TestScript, s *state, args []string) {
	before := s.site.arrived(args[0])
	until(ts, "a request to reach "+args[0], func() bool {
		// Of several requests at a time, no server gets all.
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { s.site.request(ts, s.site.instances[0]) })
		}
		wg.Wait()
		return s.site.arrived(args[0]) > before
	})
}

func (s *site) arrived(server string) int { return len(s.servers[server].Arrivals()) }

func checkNoNewRequests(ts *testscript.TestScript, s *state, args []string) {
	if n := s.site.arrived(args[0]) - s.site.counts[args[0]]; n != 0 {
		ts.Fatalf("%d new requests reached %s", n, args[0])
	}
}
