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
	fleetSize     = flag.Int("fleet", 0, "measure the control overhead of this many idle instances")
	firstIndex    = flag.Int("fleet.first", 0, "index of the first instance in this process; the process with index 0 also hosts the platform and publishes")
	instanceCount = flag.Int("fleet.count", 0, "number of instances in this process, 0 for all")
	measureTime   = flag.Duration("measure", 30*time.Second, "time over which the control overhead is measured")
)

const (
	platformAddress = "127.248.0.1:9000"

	warmUp         = 45 * time.Second
	numChanges     = 10
	changeInterval = 8 * time.Second
)

// TestFleetControl measures the control overhead of an idle instance: bytes
// exchanged with peers, calls to the platform, CPU time, memory, and the time
// until a published change is in force. Many instances are spread over several
// processes, because the number of connections of one process is limited. The
// test asserts nothing, so it runs only if -fleet is set.
func TestFleetControl(t *testing.T) {
	if *fleetSize == 0 {
		t.Skip("run with -fleet N to measure")
	}
	n := *instanceCount
	if n == 0 {
		n = *fleetSize
	}
	platform := stand.New(time.Now)
	p := publish.New(platform.Objects(), time.Now)
	if *firstIndex == 0 {
		l, err := net.Listen("tcp", platformAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: platform}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		publishChange(t, p, 0)
	}
	memoryBefore := memoryInUse()
	k := kernel.New()
	var instances []*node.Instance
	for i := range n {
		instances = append(instances, newInstance(t, k, *firstIndex+i, platformAddress))
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Stop(context.Background()) }()
	time.Sleep(warmUp)
	memoryPerInstance := float64(memoryInUse()-memoryBefore) / float64(n) / (1 << 20)
	bytes0, cpu0, calls0 := peerBytes(instances), cpuTime(), platform.Counts()
	time.Sleep(*measureTime)
	bytes1, cpu1, calls1 := peerBytes(instances), cpuTime(), platform.Counts()
	seconds := (*measureTime).Seconds()
	knownMembers := len(instances[0].Status().Members)
	delays := measurePropagation(t, p, instances)
	fmt.Printf("| %d | %d | %.0f | %.2f | %.2f | %.3f | %.1f | %.0f | %.0f | %.0f |\n", *fleetSize, knownMembers,
		2*float64(bytes1-bytes0)/float64(n)/seconds,
		100*(cpu1-cpu0).Seconds()/float64(n)/seconds,
		float64(calls1.Reads-calls0.Reads)/seconds, float64(calls1.Watches-calls0.Watches)/seconds,
		memoryPerInstance, quantileMs(delays, 0.5), quantileMs(delays, 0.99), quantileMs(delays, 1))
}

// measurePropagation publishes changes and returns, sorted, how long after its
// publication each change was in force at each instance of this process. Only the
// process with instance 0 publishes; all processes share one clock.
func measurePropagation(t *testing.T, p *publish.Publisher, instances []*node.Instance) []time.Duration {
	t.Helper()
	var delays []time.Duration
	revisions := make(map[*node.Instance]int64)
	for _, inst := range instances {
		revisions[inst] = inst.Revision()
	}
	for i := range numChanges {
		if *firstIndex == 0 {
			publishChange(t, p, i+1)
		}
		for end := time.Now().Add(changeInterval); time.Now().Before(end); time.Sleep(time.Millisecond) {
			for _, inst := range instances {
				if r := inst.Revision(); r > revisions[inst] {
					revisions[inst] = r
					delays = append(delays, time.Since(inst.PublishedAt()))
				}
			}
		}
	}
	slices.Sort(delays)
	return delays
}

// quantileMs returns the quantile q of sorted durations, in milliseconds.
func quantileMs(sorted []time.Duration, q float64) float64 {
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

// publishChange publishes version i of the test's declarations and returns its
// revision.
func publishChange(t *testing.T, p *publish.Publisher, i int) int64 {
	t.Helper()
	text := fmt.Sprintf("; %d\n[stage s]\n[pipeline p]\nstages = s\n[endpoint e]\naddress = http://127.0.0.1:9\nkind = pool\nstages = s\nfailureDomain = d\n", i)
	root, err := p.Publish(context.Background(), publish.Change{Fragments: []declare.Fragment{{Name: "a.ini", Data: []byte(text)}}, ID: fmt.Sprint("p", i)})
	if err != nil {
		t.Fatal(err)
	}
	return root.Revision
}

// newInstance creates the instance with index i and adds it to the kernel.
func newInstance(t *testing.T, k *kernel.Kernel, i int, platform string) *node.Instance {
	t.Helper()
	ip := func(i int) string { return fmt.Sprintf("127.250.%d.%d", i/250, 1+i%250) }
	text := fmt.Sprintf("[instance]\nname = n%03d\nfailureDomain = d%d\ncallerAddress = %s:8080\npeerAddress = %s:8081\noperatorAddress = %s:8082\n[platform]\nurl = http://%s\n[peers]\nseeds = %s:8081, %s:8081, %s:8081\nsecretFile = s\n",
		i, i%4, ip(i), ip(i), ip(i), platform, ip(0), ip(1), ip(2))
	cfg, err := settings.ParseEntry("m.ini", []byte(text), func(string) ([]byte, error) { return []byte("0123456789abcdef"), nil })
	if err != nil {
		t.Fatal(err)
	}
	in, err := node.New(k, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return in
}

func peerBytes(instances []*node.Instance) int64 {
	sum := int64(0)
	for _, inst := range instances {
		sum += inst.Status().PeerBytes
	}
	return sum
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
