package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

const (
	apiKey    = "9dnn2ctnfzs989anu6ws"
	routeHost = "jepu9.example"

	numInstances    = 6
	numStageServers = 5
	numEngines      = 6

	// requestsPerSecond is such that the stage gets about the pieces that it gets on the
	// deployment of the workshops: 1.75 for each request.
	requestsPerSecond = 30
	playTime          = 96 * time.Second
	// lastWait is how long the last requests may take.
	lastWait = 12 * time.Second

	// firstEvent is the time that an engine takes for about 9,000 tokens of a prompt and a step.
	firstEvent = 350 * time.Millisecond
)

// shiftedStageAnswers kills half of the instances at once, while some of these servers write a few of their answers a second time, late. It checks
// that a request is given the results of its own pieces only.
func shiftedStageAnswers(d *drive) error {
	all := &results{made: make(map[string]result)}
	store := stand.NewStore()
	defer store.Close()
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "intake", "host": routeHost, "pathPrefix": "/intake/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 910, "priority": 2,
			"service": "engines", "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 400,
			"stages": []any{map[string]any{"service": "ledger", "after": []int{}, "bytes": 1500000}},
		}},
		"services": []any{
			map[string]any{"name": "engines", "healthPath": "/healthz", "maxConns": 380, "engine": map[string]any{"slots": 96, "kvCapacity": 314188, "handleS": 5.0}},
			map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 380, "pieces": map[string]any{
				"slots": 1, "queue": 2, "batch": 8, "callMs": 200.0, "itemMs": 21.0, "roomMb": 18.0, "handleS": 4.0, "linkMbps": 10000,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}}},
	})
	zones := []string{"a", "b", "c"}
	var stages []*stageServer
	for i := range numStageServers {
		s, err := newStageServer(d, fmt.Sprintf("i-stage-%d", i), all, stageConfig{
			queue: 2, call: 200 * time.Millisecond, item: 21 * time.Millisecond, room: 18_000_000, handleTime: 4 * time.Second, resultBytes: 1_500_000, copiedAnswer: 0.03,
		})
		if err != nil {
			return err
		}
		defer func() { _ = s.listener.Close() }()
		stages = append(stages, s)
		store.Put("servers", s.id, entry("ledger", s.address(), zones[i%3], 1))
	}
	for i := range numEngines {
		e := &engine{d: d, id: fmt.Sprintf("i-engine-%d", i), all: all}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		store.Put("servers", e.id, entry("engines", l.Addr().String(), zones[i%3], 96))
	}
	instances, err := d.startInstances(numInstances, zones, store.Address())
	defer func() {
		for _, in := range instances {
			in.end()
		}
	}()
	if err != nil {
		return err
	}
	f := &fleet{instances: instances}
	f.watch()
	defer f.stop()
	if !f.awaitReady(10 * time.Second) {
		return fmt.Errorf("the instances were not ready within 10 s")
	}
	d.log("all instances are ready")
	c := &clients{d: d, fleet: f}
	done := c.play(playTime, requestsPerSecond)
	if d.trouble {
		go d.killSome(instances, stages, 6*time.Second, 10*time.Second, 9)
	}
	select {
	case <-done:
	case <-time.After(playTime + lastWait):
	}
	calls, copies, noRoom := 0, 0, 0
	for _, s := range stages {
		s.mu.Lock()
		calls, copies, noRoom = calls+s.answers, copies+s.copies, noRoom+s.noRoom
		s.mu.Unlock()
	}
	d.log("stage calls: %d answers, %d of them written twice, %d pieces without room", calls, copies, noRoom)
	c.mu.Lock()
	defer c.mu.Unlock()
	d.log("clients: %d requests, %d served, %d refused, %d failed", c.sent, c.served, c.refused, c.failed)
	if c.served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// killSome kills three of the six instances at the same moment, n times, among them the one that
// has last given work to a stage server, and starts them again after 2 s. Around each time three
// of the five stage servers garble for 5 s.
func (d *drive) killSome(instances []*instance, stages []*stageServer, first, gap time.Duration, n int) {
	time.Sleep(first)
	for i := range n {
		for _, s := range stages[:3] {
			s.setGarbles(true)
		}
		d.log("three stage servers write 3 in 100 of their answers twice")
		time.AfterFunc(5*time.Second, func() {
			for _, s := range stages[:3] {
				s.setGarbles(false)
			}
			d.log("the stage servers answer once again")
		})
		time.Sleep(500 * time.Millisecond)
		killed := append([]*instance{lastOwner(instances)}, instances...)[:1]
		for _, in := range instances {
			if in != killed[0] && len(killed) < numInstances/2 {
				killed = append(killed, in)
			}
		}
		for _, in := range killed {
			in.signal(syscall.SIGKILL)
		}
		time.Sleep(2 * time.Second)
		for _, in := range killed {
			<-in.exited
			if err := in.launch(); err != nil {
				d.log("could not start instance %s: %v", in.name, err)
			}
		}
		if i < n-1 {
			time.Sleep(gap - 2500*time.Millisecond)
		}
	}
}

// lastOwner returns the instance whose log has told of most stage calls during a short time.
func lastOwner(instances []*instance) *instance {
	sizes := make(map[*instance]int)
	for _, in := range instances {
		data, _ := os.ReadFile(in.logFile())
		sizes[in] = len(data)
	}
	time.Sleep(400 * time.Millisecond)
	owner, most := instances[0], 0
	for _, in := range instances {
		data, _ := os.ReadFile(in.logFile())
		if n := bytes.Count(data[min(len(data), sizes[in]):], []byte("batch ended")); n > most {
			owner, most = in, n
		}
	}
	return owner
}

func entry(service, address, zone string, slots int) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1}
}

// freeAddresses returns three free addresses for each of n instances.
func freeAddresses(n int) ([][3]string, error) {
	var out [][3]string
	for range n {
		var a [3]string
		for k := range a {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			a[k] = l.Addr().String()
			defer func() { _ = l.Close() }()
		}
		out = append(out, a)
	}
	return out, nil
}

// startInstances prepares n instances in the given zones.
func (d *drive) startInstances(n int, zones []string, store string) ([]*instance, error) {
	addresses, err := freeAddresses(n)
	if err != nil {
		return nil, err
	}
	seeds := []string{addresses[0][1], addresses[1][1], addresses[2][1]}
	var out []*instance
	for i, a := range addresses {
		in, err := d.newInstance(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], store, seeds, a)
		if err != nil {
			return out, err
		}
		out = append(out, in)
	}
	return out, nil
}

// engine is a model server: it fetches the results that the request names, reads the prompt and
// streams its events.
type engine struct {
	d   *drive
	id  string
	all *results
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if want := r.Header.Get(headerExpect); want != "" && want != e.id {
		w.Header().Set(headerInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet {
		w.Header().Set(headerInstance, e.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	var given []result
	if inputs := r.Header.Get(headerInputs); inputs != "" {
		for h := range strings.SplitSeq(inputs, ",") {
			res, ok := e.all.get(strings.TrimSpace(h))
			if !ok {
				e.d.log("%s: request %s names a result that is gone", e.id, id)
				w.Header().Set(headerNotExecuted, "1")
				w.WriteHeader(http.StatusConflict)
				return
			}
			given = append(given, res)
		}
	}
	e.check(id, given, r.Header.Get(headerPieces))
	w.Header().Set(headerStamp, e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstEvent)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= 6; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, id); err != nil || r.Context().Err() != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(25 * time.Millisecond)
	}
}

// check records what a request is given, and whether these are the results of all of its pieces,
// each once, and of no other request.
func (e *engine) check(id string, given []result, pieces string) {
	seen := make(map[int]bool)
	var texts []string
	wrong := ""
	for _, res := range given {
		texts = append(texts, fmt.Sprintf("%s/%d", res.request, res.piece))
		switch {
		case res.request != id:
			wrong = "a result of another request"
		case seen[res.piece]:
			wrong = "a result twice"
		}
		seen[res.piece] = true
	}
	if want, _ := strconv.Atoi(pieces); wrong == "" && want != len(given) {
		wrong = "some results only"
	}
	e.d.log("%s: request %s with %s pieces runs with the results %s", e.id, id, pieces, strings.Join(texts, " "))
	if wrong != "" {
		e.d.violation("MIXED: request %s is given %s: %s", id, wrong, strings.Join(texts, " "))
	}
}

// fleet is what the platform knows of the instances.
type fleet struct {
	instances []*instance

	mu     sync.Mutex
	misses map[*instance]int
	ready  []*instance
	ended  bool
}

// watch starts the instances and asks each of them once in a second whether it is ready.
func (f *fleet) watch() {
	f.misses = make(map[*instance]int)
	for _, in := range f.instances {
		f.misses[in] = 2
		if err := in.launch(); err != nil {
			in.d.log("could not start instance %s: %v", in.name, err)
		}
	}
	client := &http.Client{Timeout: 900 * time.Millisecond}
	go func() {
		for {
			f.mu.Lock()
			ended := f.ended
			f.mu.Unlock()
			if ended {
				return
			}
			var wg sync.WaitGroup
			for _, in := range f.instances {
				wg.Go(func() {
					resp, err := client.Get("http://" + in.readiness + "/ready")
					ok := err == nil && resp.StatusCode == http.StatusOK
					if err == nil {
						_ = resp.Body.Close()
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.misses[in]++; ok {
						f.misses[in] = 0
					}
				})
			}
			wg.Wait()
			f.mu.Lock()
			f.ready = nil
			for _, in := range f.instances {
				if f.misses[in] < 2 {
					f.ready = append(f.ready, in)
				}
			}
			f.mu.Unlock()
			time.Sleep(time.Second)
		}
	}()
}

func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
}

func (f *fleet) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.ready)
		f.mu.Unlock()
		if n == len(f.instances) {
			return true
		}
	}
	return false
}

// pick returns an instance in rotation, or any one if there is none.
func (f *fleet) pick() *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 {
		return f.instances[rand.IntN(len(f.instances))]
	}
	return f.ready[rand.IntN(len(f.ready))]
}

// clients send requests at a steady rate. Each request that is refused, or whose connection is
// closed, is sent once more.
type clients struct {
	d     *drive
	fleet *fleet

	mu                            sync.Mutex
	sent, served, refused, failed int
}

func (c *clients) play(d time.Duration, perSecond float64) <-chan struct{} {
	done := make(chan struct{})
	rng := rand.New(rand.NewPCG(c.d.seed, 1))
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
			// 7 in 10 requests have pieces, 2.5 on average.
			pieces := 0
			if rng.Float64() < 0.7 {
				pieces = 1 + rng.IntN(4)
			}
			wg.Go(func() { c.request(pieces) })
		}
		wg.Wait()
	}()
	return done
}

func (c *clients) request(pieces int) {
	const timeout = 15 * time.Second
	end := time.Now().Add(timeout)
	for try := range 2 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		status, retryAfter, err := c.send(id, pieces, time.Until(end))
		c.d.log("client: request %s with %d pieces: status %d, error %v", id, pieces, status, err)
		c.mu.Lock()
		c.sent++
		switch {
		case err == nil && status == http.StatusOK:
			c.served++
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			c.refused++
		default:
			c.failed++
		}
		c.mu.Unlock()
		if err == nil && status < 429 || try == 1 {
			return
		}
		time.Sleep(min(retryAfter, time.Until(end)/3))
	}
}

func (c *clients) send(id string, pieces int, left time.Duration) (status int, retryAfter time.Duration, err error) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := &http.Client{Transport: transport, Timeout: left}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.pick().front+"/intake/2f", strings.NewReader("{}"))
	if err != nil {
		return 0, 0, err
	}
	req.Host = routeHost
	req.Header = http.Header{
		headerRequestID: {id}, headerDeadline: {strconv.FormatInt(left.Milliseconds(), 10)}, "Authorization": {"Bearer " + apiKey}, headerPieces: {strconv.Itoa(pieces)}, headerPieceKey: {"key-" + id},
		"Chervilpath-Model": {"m"}, "Chervilpath-Token-Counts": {"543,24"}, "Chervilpath-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:100,%s:443", id)},
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, retryAfter, err
}
