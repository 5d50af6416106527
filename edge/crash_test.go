package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/io/operator"
	"chervilpath/platform/stand"
)

const (
	// crashContact is the time after the fifth crash from which requests with the part
	// that caused the crashes must no longer reach engines. The platform's is longer.
	crashContact = 1500 * time.Millisecond

	// maxSendsAfterContact is how many of them may.
	maxSendsAfterContact = 3

	crashEngines  = 12
	engineRestart = 1500 * time.Millisecond
	badPart       = "bad0"
)

// crashSite is a site whose engines crash and start again as others.
type crashSite struct {
	*testSite
	crashAfter int
	// crashPart is the part of prompts on which the engines crash, or "".
	crashPart string

	mu      sync.Mutex
	started int
	crashes []time.Time
	// badSends are the times at which requests with the bad part reached engines.
	badSends []time.Time
	live     map[string]*stand.Server
}

func newCrashSite(t *testing.T, instances, crashAfter int, crashPart string) *crashSite {
	s := &crashSite{crashAfter: crashAfter, crashPart: crashPart, live: make(map[string]*stand.Server)}
	var engines []*stand.Server
	for range crashEngines {
		engines = append(engines, s.newEngine())
	}
	r := routeSpec("draft", "streaming", "llm", map[string]any{"resumable": true, "sticky": true, "maxAttempts": 3, "timeoutMs": 6000})
	s.testSite = newTestSite(t, instances, configSpec(1, apiKeys, r), engines...)
	return s
}

// newEngine starts an engine, which is replaced some time after it has crashed.
func (s *crashSite) newEngine() *stand.Server {
	s.mu.Lock()
	s.started++
	id := fmt.Sprint("e-", s.started)
	s.mu.Unlock()
	e := stand.NewServer(id, "llm", "a")
	e.NumEvents, e.EventGap, e.WorkTime = 12, 40*time.Millisecond, 20*time.Millisecond
	e.CrashAfter, e.Born = s.crashAfter, time.Now().UnixMilli()
	if s.crashPart != "" {
		e.CrashParts = []string{s.crashPart}
	}
	e.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.Contains(r.Header.Get(stand.HeaderPromptPrefix), badPart) {
			s.mu.Lock()
			s.badSends = append(s.badSends, time.Now())
			s.mu.Unlock()
		}
		return false
	}
	e.Crashed = func() {
		s.mu.Lock()
		s.crashes = append(s.crashes, time.Now())
		delete(s.live, id)
		s.mu.Unlock()
		time.AfterFunc(engineRestart, func() {
			next := s.newEngine()
			s.t.Cleanup(next.Close)
			s.store.Put("servers", next.ID, next.Entry("ready"))
			s.store.Remove("servers", id)
		})
	}
	s.mu.Lock()
	s.live[id] = e
	s.mu.Unlock()
	return e
}

func (s *crashSite) numCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// prompt sends a request with the given parts to the i-th instance.
func (s *crashSite) prompt(i int, id string, parts ...string) response {
	prefix := ""
	for _, p := range parts {
		prefix += p + ":100,"
	}
	header := http.Header{stand.HeaderPromptPrefix: {prefix + "own" + id + ":50"}}
	return s.send(s.t.Context(), i, http.MethodPost, "/draft/1", id, header, "body")
}

// sendPrompt is prompt and reports whether the request was served.
func (s *crashSite) sendPrompt(i int, id string, parts ...string) bool {
	got := s.prompt(i, id, parts...)
	return got.err == nil && got.status == http.StatusOK && stand.IsCompleteStream(got.body, 12)
}

// every calls f with a rising number in a goroutine of its own, at an interval, until stop
// is closed, and returns once all calls have returned.
func every(interval time.Duration, stop <-chan struct{}, f func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			wg.Go(func() { f(n) })
		}
	}
}

// soundParts are the shared parts of the n-th sound prompt: one of all and one of a few.
func soundParts(n int) []string { return []string{"base", fmt.Sprint("subject", n%7)} }

// Guards against prompts with one part that crash engine after engine: once five engines
// have ended on it, next to no request with it may reach another, and sound prompts, which
// share all their other parts, have to be served.
func TestPromptPartThatCrashesEnginesIsHeldBack(t *testing.T) {
	t.Parallel()
	for name, position := range map[string]int{"first": 0, "middle": 1, "last shared": 2} {
		for crashAfter := range 2 {
			t.Run(fmt.Sprintf("%s, after %d events", name, crashAfter), func(t *testing.T) {
				t.Parallel()
				s := newCrashSite(t, 4, crashAfter, badPart)
				stop := make(chan struct{})
				var wg sync.WaitGroup
				var sent, served atomic.Int32
				var calm atomic.Bool
				wg.Go(func() {
					every(140*time.Millisecond, stop, func(n int) {
						parts := soundParts(n)
						parts = append(parts[:position:position], append([]string{badPart}, parts[position:]...)...)
						s.sendPrompt(n%4, fmt.Sprint("b-", n), parts...)
					})
				})
				wg.Go(func() {
					every(50*time.Millisecond, stop, func(n int) {
						counted := calm.Load()
						ok := s.sendPrompt(n%4, fmt.Sprint("g-", n), soundParts(n)...)
						if counted {
							sent.Add(1)
							if ok {
								served.Add(1)
							}
						}
					})
				})
				s.eventually("five crashes", func() bool { return s.numCrashes() >= 5 })
				time.Sleep(crashContact + engineRestart)
				calm.Store(true)
				time.Sleep(1500 * time.Millisecond)
				close(stop)
				wg.Wait()
				s.mu.Lock()
				defer s.mu.Unlock()
				late := 0
				for _, at := range s.badSends {
					if at.After(s.crashes[4].Add(crashContact)) {
						late++
					}
				}
				t.Logf("%d crashes, %d sends later than %v after the fifth; %d of %d sound requests served after that", len(s.crashes), late, crashContact, served.Load(), sent.Load())
				if late > maxSendsAfterContact {
					t.Errorf("%d requests with the part reached engines later than %v after the fifth crash, want at most %d", late, crashContact, maxSendsAfterContact)
				}
				if 2*served.Load() < sent.Load() {
					t.Errorf("%d of %d sound requests served, want at least half", served.Load(), sent.Load())
				}
			})
		}
	}
}

// Guards against engines that crash one after the other by themselves, under prompts that
// share their first part, and cost more than the answers that they break off.
func TestEnginesThatCrashByThemselvesHoldNothingBack(t *testing.T) {
	t.Parallel()
	s := newCrashSite(t, 4, 0, "")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served atomic.Int32
	wg.Go(func() {
		every(50*time.Millisecond, stop, func(n int) {
			sent.Add(1)
			if s.sendPrompt(n%4, fmt.Sprint("g-", n), soundParts(n)...) {
				served.Add(1)
			}
		})
	})
	wg.Go(func() {
		every(500*time.Millisecond, stop, func(int) {
			s.mu.Lock()
			var victim *stand.Server
			for _, e := range s.live {
				victim = e
			}
			s.mu.Unlock()
			if victim != nil {
				victim.Crash()
			}
		})
	})
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	t.Logf("%d crashes; %d of %d requests served", s.numCrashes(), served.Load(), sent.Load())
	if float64(served.Load()) < 0.95*float64(sent.Load()) {
		t.Errorf("%d of %d requests served, want 95 in 100", served.Load(), sent.Load())
	}
	if n := s.counter("chervilpath_quarantined_parts"); n > 0 {
		t.Errorf("%v parts held back, want none", n)
	}
}

// Guards against an instance that starts after the crashes and lets the part through, and
// against a part that stays held back at some instances after an operator released it.
func TestHeldBackPartIsKnownToNewInstancesUntilReleased(t *testing.T) {
	t.Parallel()
	s := newCrashSite(t, 3, 0, badPart)
	for n := 0; n < 30 && s.counter("chervilpath_quarantined_parts") < 3; n++ {
		s.sendPrompt(n%3, fmt.Sprint("g-", n), soundParts(n)...)
		s.sendPrompt(n%3, fmt.Sprint("b-", n), "base", badPart)
	}
	s.start("edge-3", freeAddress(t), freeAddress(t), freeAddress(t), s.instances[0].peerAddress)
	s.eventually("the new instance to be ready", func() bool { return s.getStatus(s.instances[3].operatorAddress+"/ready") == http.StatusOK })
	s.eventually("all instances to hold the part back", func() bool { return s.counter("chervilpath_quarantined_parts") == 4 })
	for i := range 4 {
		got := s.prompt(i, fmt.Sprint("r-", i), "base", badPart)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" || !strings.Contains(got.body, "quarantined") {
			t.Errorf("instance %d: status %d, Retry-After %q, body %q", i, got.status, got.header.Get("Retry-After"), got.body)
		}
	}
	held, err := operator.FetchStatus(t.Context(), s.instances[3].operatorAddress, "")
	if err != nil {
		t.Fatal(err)
	}
	if p := held.QuarantinedParts; len(p) != 1 || p[0].Part != badPart || p[0].Crashes < 4 || len(p[0].Servers) < 4 || p[0].TrialInMs <= 0 {
		t.Errorf("status has %+v, want the part", p)
	}
	if err := operator.Release(t.Context(), s.instances[1].operatorAddress, "", "llm", "other"); err == nil {
		t.Error("a part that is not held back is released")
	}
	if err := operator.Release(t.Context(), s.instances[1].operatorAddress, "", "llm", badPart); err != nil {
		t.Fatal(err)
	}
	s.eventually("all instances to release the part", func() bool { return s.counter("chervilpath_quarantined_parts") == 0 })
}
