package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"chervilpath/core/status"
	"chervilpath/io/operator"
	"chervilpath/platform/stand"
)

// noticePath is one way in which requests reach a server.
type noticePath struct {
	service string
	route   map[string]any
	header  http.Header
	// numEvents makes the servers answer with streams.
	numEvents int
}

// noticePaths returns the paths by the kind of server. Each request of path stages needs
// a call of a stage server and the freeing of its result.
func noticePaths() map[string]noticePath {
	return map[string]noticePath{
		"plain":  {service: "desk", route: routeSpec("look", "idempotent", "desk", nil)},
		"engine": {service: "llm", route: routeSpec("look", "streaming", "llm", map[string]any{"resumable": true, "sticky": true}), numEvents: 2},
		"stages": {
			service: "photos",
			route: routeSpec("look", "streaming", "llm", map[string]any{
				"resumable": true, "sticky": true, "stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 10}},
			}),
			header: http.Header{stand.HeaderPieces: {"1"}, stand.HeaderPieceKey: {"k"}}, numEvents: 2,
		},
	}
}

// newNoticeSite starts one instance before two servers of the path's service, and an
// engine if the path has stages.
func newNoticeSite(t *testing.T, p noticePath) (s *testSite, a, b *stand.Server) {
	t.Helper()
	a, b = stand.NewServer("i-1", p.service, "a"), stand.NewServer("i-2", p.service, "a")
	servers := []*stand.Server{a, b}
	if p.service == "photos" {
		// Calls overlap, so that both servers get some.
		a.WorkTime, b.WorkTime = 20*time.Millisecond, 20*time.Millisecond
		servers = append(servers, stand.NewServer("e-1", "llm", "a"))
	}
	for _, server := range servers {
		if server.Service == "llm" {
			server.NumEvents = p.numEvents
		}
	}
	return newTestSite(t, 1, configSpec(1, apiKeys, p.route), servers...), a, b
}

// sendAlong sends requests along the path, one after the other, and returns how many were
// answered with success.
func (s *testSite) sendAlong(p noticePath, name string, n int) (served int) {
	for i := range n {
		if got := s.send(s.t.Context(), 0, http.MethodPost, "/look/1", fmt.Sprintf("%s-%d", name, i), p.header, ""); got.status == http.StatusOK && got.err == nil {
			served++
		}
	}
	return served
}

// requestsAfter returns the arrivals after a time, but for those that free results.
func requestsAfter(server *stand.Server, at time.Time) (out []stand.Arrival) {
	for _, a := range server.Arrivals() {
		if a.At.After(at) && a.Path != "/stage-free" {
			out = append(out, a)
		}
	}
	return out
}

// status returns the status of the i-th instance.
func (s *testSite) status(i int) status.Instance {
	s.t.Helper()
	out, err := operator.FetchStatus(s.t.Context(), s.instances[i].operatorAddress, "")
	if err != nil {
		s.t.Fatal(err)
	}
	return out
}

// reach sends requests along the path, a few at a time, until one has reached the server.
func (s *testSite) reach(p noticePath, server *stand.Server) {
	s.t.Helper()
	before, round := len(requestsAfter(server, time.Time{})), 0
	s.eventually("a request to reach the server", func() bool {
		round++
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { s.sendAlong(p, fmt.Sprintf("reach-%d-%d-%d", before, round, i), 1) })
		}
		wg.Wait()
		return len(requestsAfter(server, time.Time{})) > before
	})
}

// A server that says in its answers that it is leaving gets nothing more, without the
// store, while the store is down, and though its entry still says that it is ready. After
// its next start it gets requests again.
func TestServerThatSaysItIsLeavingGetsNothingMore(t *testing.T) {
	t.Parallel()
	for name, p := range noticePaths() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, leaving, _ := newNoticeSite(t, p)
			leaving.SayLeaving(true)
			s.reach(p, leaving)
			said := time.Now()
			for i, change := range []func(){
				func() {},
				func() { s.store.SetFaults(stand.Faults{Down: true}) },
				func() { s.store.SetFaults(stand.Faults{}) },
				func() {
					entry := leaving.Entry("ready")
					entry["seq"] = 2
					s.store.Put("servers", leaving.ID, entry)
				},
			} {
				change()
				time.Sleep(propagationBound / 8)
				if served := s.sendAlong(p, fmt.Sprint("r", i), 6); served != 6 {
					t.Errorf("step %d: %d of 6 requests served", i, served)
				}
			}
			if got := s.status(0).Unwilling; len(got) != 1 || got[0].ID != leaving.ID || !got[0].Leaving {
				t.Errorf("the status names %+v, want the server that leaves", got)
			}
			if late := requestsAfter(leaving, said); len(late) > 0 {
				t.Errorf("%d requests reached the server after it had said that it is leaving: %+v", len(late), late[0])
			}
			leaving.SayLeaving(false)
			leaving.Born = 2
			s.store.Put("servers", leaving.ID, leaving.Entry("ready"))
			s.reach(p, leaving)
		})
	}
}

// A server that wants nothing for a while gets nothing until then, no trial request
// either, and gets requests again after it. Results that it holds are not freed.
func TestServerThatWantsNothingForAWhileGetsNothing(t *testing.T) {
	t.Parallel()
	for name, p := range noticePaths() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, unwilling, _ := newNoticeSite(t, p)
			s.reach(p, unwilling)
			const rest = 1500 * time.Millisecond
			unwilling.RefuseFor(rest)
			until := time.Now().Add(rest)
			s.eventually("the instance to know that the server wants nothing", func() bool {
				s.sendAlong(p, fmt.Sprint("learn-", time.Now().UnixNano()), 1)
				got := s.status(0).Unwilling
				return len(got) == 1 && got[0].ID == unwilling.ID && got[0].ReturnsInMs > 0
			})
			said := time.Now()
			if served := s.sendAlong(p, "r", 10); served != 10 {
				t.Errorf("%d of 10 requests served", served)
			}
			for time.Now().Before(until) {
				s.sendAlong(p, "w", 1)
				time.Sleep(10 * time.Millisecond)
			}
			for _, a := range unwilling.Arrivals() {
				if a.At.After(said) && a.At.Before(until) {
					t.Errorf("a request to %s reached the server %v before it wants any", a.Path, until.Sub(a.At))
				}
			}
			s.reach(p, unwilling)
		})
	}
}

// If all servers of a service want nothing, callers are refused at once, with the time of
// the first return, or wait for it if it comes early enough. Nothing waits until its
// deadline has passed.
func TestServiceThatWantsNothingIsRefusedAtOnceOrAwaited(t *testing.T) {
	t.Parallel()
	for name, p := range noticePaths() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, a, b := newNoticeSite(t, p)
			const long, short = 8 * time.Second, 700 * time.Millisecond
			a.RefuseFor(short)
			b.RefuseFor(short)
			start := time.Now()
			s.sendAlong(p, "learn", 2)
			got := s.send(t.Context(), 0, http.MethodPost, "/look/1", "short", p.header, "")
			if got.status != http.StatusOK || got.err != nil || time.Since(start) > 3*short {
				t.Errorf("first return in time: status %d, error %v after %v, want 200", got.status, got.err, time.Since(start))
			}
			for _, server := range []*stand.Server{a, b} {
				s.reach(p, server)
				server.RefuseFor(long)
			}
			s.sendAlong(p, "learn again", 4)
			start = time.Now()
			got = s.send(t.Context(), 0, http.MethodPost, "/look/1", "long", p.header, "")
			if elapsed := time.Since(start); got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests || elapsed > 300*time.Millisecond {
				t.Errorf("first return too late: status %d after %v, want a refusal at once", got.status, elapsed)
			}
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if left := (long - 3*time.Second).Seconds(); err != nil || after < left {
				t.Errorf("Retry-After %q, want at least %v s", got.header.Get("Retry-After"), left)
			}
		})
	}
}

// Requests that wait for a busy server are refused at once when it says that it wants
// nothing until after their deadlines.
func TestWaitingRequestsAreRefusedWhenTheServerWantsNothing(t *testing.T) {
	t.Parallel()
	p := noticePaths()["plain"]
	server := stand.NewServer("i-1", "desk", "a")
	server.WorkTime = 300 * time.Millisecond
	s := newTestSite(t, 1, configSpec(1, apiKeys, p.route), server)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range 40 {
		wg.Go(func() {
			if i == 0 {
				time.Sleep(100 * time.Millisecond)
				server.RefuseFor(20 * time.Second)
			}
			got := s.post(0, "/look/1", fmt.Sprint("r-", i))
			if elapsed := time.Since(start); got.status != http.StatusOK && elapsed > 1500*time.Millisecond {
				t.Errorf("request %d: status %d only after %v", i, got.status, elapsed)
			}
		})
	}
	wg.Wait()
	if n := len(requestsAfter(server, start.Add(time.Second))); n > 0 {
		t.Errorf("%d requests reached the server that wants none", n)
	}
}

// A stream in progress goes on although its server says that it is leaving, and one that
// breaks off is not resumed there.
func TestStreamsOfALeavingServerGoOnAndResumeElsewhere(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("e-1", "llm", "a"), stand.NewServer("e-2", "llm", "a")
	for _, e := range []*stand.Server{a, b} {
		e.NumEvents, e.EventGap = 6, 20*time.Millisecond
	}
	a.SayLeaving(true)
	breakOff := true
	a.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if !breakOff {
			return false
		}
		breakOff = false
		w.Header().Set(stand.HeaderServerStamp, "first")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: event 1\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	r := routeSpec("look", "streaming", "llm", map[string]any{"resumable": true, "sticky": true, "maxAttempts": 4})
	s := newTestSite(t, 1, configSpec(1, apiKeys, r), a, b)
	n := 0
	s.eventually("a request to reach the engine that leaves", func() bool {
		n++
		got := s.post(0, "/look/1", fmt.Sprint("r-", n))
		if got.err != nil || !stand.IsCompleteStream(got.body, 6) {
			t.Errorf("stream: %v\n%s", got.err, got.body)
		}
		return len(a.Arrivals()) > 0
	})
	for i := range 10 {
		s.post(0, "/look/1", fmt.Sprint("later-", i))
	}
	if n := len(a.Arrivals()); n != 1 {
		t.Errorf("%d requests reached the engine that leaves, want 1", n)
	}
}
