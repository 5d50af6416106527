package node_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/kernel"
	"chervilpath/core/publish"
	"chervilpath/core/settings"
	"chervilpath/node"
	"chervilpath/platform/stand"
)

var (
	fleetSize  = flag.Int("fleet", 0, "measure the control of this many idle instances")
	fleetFirst = flag.Int("fleet.first", 0, "number of the first instance of this process; the one with 0 also hosts the platform and publishes")
	fleetCount = flag.Int("fleet.count", 0, "instances in this process, all if 0")
	measured   = flag.Duration("measure", 30*time.Second, "time over which control is measured")
)

const (
	platformAddress = "127.248.0.1:9000"

	warmUp      = 45 * time.Second
	changes     = 10
	changeEvery = 8 * time.Second
)

// TestFleetControl measures what control costs an instance: bytes to peers,
// calls of the platform, processor time, memory, and the time until a change is
// in force. A large fleet is spread over a few processes, since one process may
// not open enough connections. It asserts nothing, so it runs only when asked to.
func TestFleetControl(t *testing.T) {
	if *fleetSize == 0 {
		t.Skip("run with -fleet N to measure")
	}
	n := *fleetCount
	if n == 0 {
		n = *fleetSize
	}
	platform := stand.New(time.Now)
	p := publish.New(platform.Objects(), time.Now)
	if *fleetFirst == 0 {
		l, err := net.Listen("tcp", platformAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: platform}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		change(t, p, 0)
	}
	before := memory()
	k := kernel.New()
	var fleet []*node.Instance
	for i := range n {
		fleet = append(fleet, newMember(t, k, *fleetFirst+i, platformAddress))
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	time.Sleep(warmUp)
	memoryEach := float64(memory()-before) / float64(n) / (1 << 20)
	bytes0, cpu0, calls0 := peerBytes(fleet), cpuTime(), platform.Counts()
	time.Sleep(*measured)
	bytes1, cpu1, calls1 := peerBytes(fleet), cpuTime(), platform.Counts()
	seconds := (*measured).Seconds()
	known := len(fleet[0].Status().Members)
	inForce := timeChanges(t, p, fleet)
	fmt.Printf("| %d | %d | %.0f | %.2f | %.2f | %.3f | %.1f | %.0f | %.0f | %.0f |\n", *fleetSize, known,
		2*float64(bytes1-bytes0)/float64(n)/seconds,
		100*(cpu1-cpu0).Seconds()/float64(n)/seconds,
		float64(calls1.Reads-calls0.Reads)/seconds, float64(calls1.Watches-calls0.Watches)/seconds,
		memoryEach, milliseconds(inForce, 0.5), milliseconds(inForce, 0.99), milliseconds(inForce, 1))
}

// timeChanges returns, in order, how long after their publication each instance
// of this process had some changes in force. The processes share one clock.
func timeChanges(t *testing.T, p *publish.Publisher, fleet []*node.Instance) []time.Duration {
	t.Helper()
	var out []time.Duration
	have := make(map[*node.Instance]int64)
	for _, n := range fleet {
		have[n] = n.Revision()
	}
	for i := range changes {
		if *fleetFirst == 0 {
			change(t, p, i+1)
		}
		for end := time.Now().Add(changeEvery); time.Now().Before(end); time.Sleep(time.Millisecond) {
			for _, n := range fleet {
				if r := n.Revision(); r > have[n] {
					have[n] = r
					out = append(out, time.Since(n.PublishedAt()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

func milliseconds(sorted []time.Duration, q float64) float64 {
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

func change(t *testing.T, p *publish.Publisher, i int) int64 {
	t.Helper()
	text := fmt.Sprintf("; %d\n[stage s]\n[pipeline p]\nstages = s\n[endpoint e]\naddress = http://127.0.0.1:9\nkind = pool\nstages = s\nfailureDomain = d\n", i)
	root, err := p.Publish(context.Background(), publish.Change{Fragments: []declare.Fragment{{Name: "a.ini", Data: []byte(text)}}, ID: fmt.Sprint("p", i)})
	if err != nil {
		t.Fatal(err)
	}
	return root.Revision
}

func newMember(t *testing.T, k *kernel.Kernel, i int, platform string) *node.Instance {
	t.Helper()
	ip := func(i int) string { return fmt.Sprintf("127.250.%d.%d", i/250, 1+i%250) }
	text := fmt.Sprintf("[instance]\nname = n%03d\nfailureDomain = d%d\ncallerAddress = %s:8080\npeerAddress = %s:8081\noperatorAddress = %s:8082\n[platform]\nurl = http://%s\n[peers]\nseeds = %s:8081, %s:8081, %s:8081\nsecretFile = s\n",
		i, i%4, ip(i), ip(i), ip(i), platform, ip(0), ip(1), ip(2))
	cfg, err := settings.ParseEntry("m.ini", []byte(text), func(string) ([]byte, error) { return []byte("0123456789abcdef"), nil })
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(k, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func peerBytes(fleet []*node.Instance) int64 {
	sum := int64(0)
	for _, n := range fleet {
		sum += n.Status().PeerBytes
	}
	return sum
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
