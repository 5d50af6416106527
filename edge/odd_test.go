package edge_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// nestedMark stands in a spec for a value that is nested more deeply than encoding/json
// encodes or decodes.
const nestedMark = `"nested 20,000 deep"`

var nestedValue = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// newOddSite returns a site in which instances reach the store through a link that puts
// nestedValue for nestedMark.
func newOddSite(t *testing.T, numInstances int, config map[string]any, servers ...*stand.Server) *testSite {
	t.Helper()
	s := newTestSite(t, 0, config, servers...)
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		s.store.ServeHTTP(answer, r)
		w.WriteHeader(answer.Code)
		_, _ = w.Write(bytes.ReplaceAll(answer.Body.Bytes(), []byte(nestedMark), []byte(nestedValue)))
	}))
	t.Cleanup(link.CloseClientConnections)
	t.Cleanup(link.Close)
	s.storeAddress = strings.TrimPrefix(link.URL, "http://")
	for i := range numInstances {
		s.startNext()
		if i == 0 && len(servers) > 0 {
			s.eventually("the first instance to be ready", func() bool { return s.getStatus(s.instances[0].operatorAddress+"/ready") == http.StatusOK })
		}
	}
	return s
}

// startNext starts another instance, whose seed is the first one.
func (s *testSite) startNext() {
	s.t.Helper()
	peerAddress := freeAddress(s.t)
	seeds := peerAddress
	if len(s.instances) > 0 {
		seeds = s.instances[0].peerAddress
	}
	s.start(fmt.Sprint("edge-", len(s.instances)), freeAddress(s.t), peerAddress, freeAddress(s.t), seeds)
}

// awaitReady waits until all instances are ready.
func (s *testSite) awaitReady() {
	s.t.Helper()
	for _, inst := range s.instances {
		s.eventually("the instance to be ready", func() bool { return s.getStatus(inst.operatorAddress+"/ready") == http.StatusOK })
	}
}

// putOddEntries writes odd entries for each of the services, and returns their number.
func putOddEntries(s *testSite, services ...string) int {
	n := 0
	for _, service := range services {
		for _, fields := range []string{
			`"address":"127.0.0.1:99999"`, `"address":"127.0.0.1:-1"`, `"address":"127.0.0.1"`, `"address":"127.0.0.1:1 \n"`, `"address":5`,
			`"address":"127.0.0.1:1","slots":9223372036854775807`, `"address":"127.0.0.1:1","slots":1e30`, `"address":"127.0.0.1:1","coldLeftMs":1e308`,
			`"address":"127.0.0.1:1","born":-9223372036854775808`, `"address":"127.0.0.1:1","unread":` + nestedMark,
		} {
			n++
			s.store.PutRaw("servers", fmt.Sprint("odd-", n), fmt.Appendf(nil, `{"service":%q,"zone":"a","state":"ready","slots":4,%s}`, service, fields))
		}
		n++
		s.store.PutRaw("servers", fmt.Sprint("odd-", n), []byte(nestedMark))
	}
	return n
}

// oddSiteConfig returns a configuration with a route to a plain service, one to engines and
// one to engines with a stage.
func oddSiteConfig() map[string]any {
	return configSpec(1, apiKeys,
		routeSpec("book", "non_idempotent", "desk", nil),
		routeSpec("shift", "non_idempotent", "moved", nil),
		routeSpec("draft", "streaming", "llm", map[string]any{"resumable": true}),
		routeSpec("quote", "streaming", "llm", map[string]any{"stages": []any{map[string]any{"service": "photos", "after": []any{}, "bytes": 100}}}),
	)
}

func (s *testSite) postToStage(i int, id string) response {
	s.t.Helper()
	return s.send(s.t.Context(), i, http.MethodPost, "/quote/1", id, http.Header{stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {"k"}}, "")
}

// Guards against one odd entry of another writer that hides all servers from the machines
// that read the list: when they start, when it is written, and when they read the list again.
func TestSoundServersServeBesideOddEntries(t *testing.T) {
	t.Parallel()
	desk, engine, photos := stand.NewServer("i-1", "desk", "a"), stand.NewServer("e-1", "llm", "a"), stand.NewServer("p-1", "photos", "a")
	engine.NumEvents = 2
	s := newOddSite(t, 1, oddSiteConfig(), desk, engine, photos)
	odd := putOddEntries(s, "desk", "llm", "photos")
	s.startNext()
	s.awaitReady()
	added := stand.NewServer("m-1", "moved", "a")
	t.Cleanup(added.Close)
	s.store.Put("servers", "m-1", added.Entry("ready"))
	time.Sleep(propagationBound / 2)
	requests := 0
	check := func(when string) {
		t.Helper()
		for i := range 10 {
			requests++
			id := fmt.Sprint("r-", requests)
			for target, got := range map[string]response{"/book/1": s.post(i%2, "/book/1", id), "/shift/1": s.post(i%2, "/shift/1", id+"m"), "/draft/1": s.post(i%2, "/draft/1", id+"d"), "stage": s.postToStage(i%2, id+"s")} {
				if got.status != http.StatusOK || got.err != nil {
					t.Errorf("%s: %s: status %d, error %v", when, target, got.status, got.err)
				}
			}
		}
		if n := s.counter("chervilpath_server_entries_refused_total"); n != float64(2*odd) {
			t.Errorf("%s: %v refused entries are counted, want each of %d once by each instance", when, n, odd)
		}
	}
	check("beside odd entries")
	for range 3 {
		s.store.Compact()
		s.store.Put("servers", "i-1", desk.Entry("ready"))
		time.Sleep(propagationBound / 4)
	}
	check("after the list was read again")
	if n := s.counter("chervilpath_store_failures_total"); n != 0 {
		t.Errorf("%v calls of the store failed", n)
	}
}

// Guards against requests that wait for servers of which none exists, and against calls of
// the store without end: all entries of the services are odd.
func TestServicesWithOddEntriesAloneRefuseAtOnce(t *testing.T) {
	t.Parallel()
	moved := stand.NewServer("m-1", "moved", "a")
	s := newOddSite(t, 2, oddSiteConfig(), moved)
	s.awaitReady()
	putOddEntries(s, "desk", "llm", "photos")
	time.Sleep(propagationBound / 2)
	for i := range 4 {
		id := fmt.Sprint("r-", i)
		for target, send := range map[string]func() response{
			"/book/1": func() response { return s.post(i%2, "/book/1", id) }, "/draft/1": func() response { return s.post(i%2, "/draft/1", id+"d") },
			"stage": func() response { return s.postToStage(i%2, id+"s") },
		} {
			start := time.Now()
			got := send()
			if elapsed := time.Since(start); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || elapsed > 500*time.Millisecond {
				t.Errorf("%s: status %d after %v with Retry-After %q, want 503 at once", target, got.status, elapsed, got.header.Get("Retry-After"))
			}
		}
	}
	before := s.store.Counts()
	time.Sleep(propagationBound)
	after := s.store.Counts()
	// Two kinds of object are watched by two instances.
	if n := after.Reads + after.Watches - before.Reads - before.Watches; n > 20 {
		t.Errorf("%d calls of the store within %v", n, propagationBound)
	}
}

// Guards against machines that read the list again and again, or never start, because it
// has odd entries alone.
func TestListOfOddEntriesAloneIsFollowed(t *testing.T) {
	t.Parallel()
	s := newOddSite(t, 0, oddSiteConfig())
	putOddEntries(s, "desk")
	s.startNext()
	s.startNext()
	time.Sleep(propagationBound / 2)
	if n := s.counter("chervilpath_store_failures_total"); n != 0 {
		t.Errorf("%v calls of the store failed", n)
	}
	before := s.store.Counts()
	time.Sleep(propagationBound)
	after := s.store.Counts()
	if n := after.Reads + after.Watches - before.Reads - before.Watches; n > 20 {
		t.Errorf("%d calls of the store within %v", n, propagationBound)
	}
	if got := s.post(0, "/book/1", "r-0"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d without a server, want 503", got.status)
	}
	added := stand.NewServer("i-1", "desk", "a")
	t.Cleanup(added.Close)
	s.store.Put("servers", "i-1", added.Entry("ready"))
	s.awaitReady()
	for i := range s.instances {
		if got := s.post(i, "/book/1", fmt.Sprint("r-", i+1)); got.status != http.StatusOK {
			t.Errorf("instance %d: status %d after the first sound entry, want 200", i, got.status)
		}
	}
}

// Guards against requests to servers that are gone: the history of the store is gone as
// well, and the list has odd entries alone.
func TestServersGoneBesideOddEntriesGetNoRequests(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	s := newOddSite(t, 2, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	s.awaitReady()
	putOddEntries(s, "desk")
	time.Sleep(propagationBound / 2)
	s.store.MuteWatches(true)
	s.store.Remove("servers", "i-1")
	s.store.PutRaw("servers", "i-2", []byte(nestedMark))
	s.store.Compact()
	s.store.MuteWatches(false)
	time.Sleep(propagationBound)
	before := a.TotalRuns() + b.TotalRuns()
	for i := range 6 {
		if got := s.post(i%2, "/book/1", fmt.Sprint("r-", i)); got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", got.status)
		}
	}
	if n := a.TotalRuns() + b.TotalRuns() - before; n != 0 {
		t.Errorf("%d requests ran at servers without an entry", n)
	}
}

// Guards against requests that are refused beside servers that cannot be reached, although a
// sound one takes them.
func TestSoundServerServesBesideUnreachableOnes(t *testing.T) {
	t.Parallel()
	sound := stand.NewServer("i-1", "desk", "a")
	sound.WorkTime = 5 * time.Millisecond
	s := newTestSite(t, 2, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), sound)
	for i := range 6 {
		entry := sound.Entry(stand.Ready)
		entry["address"] = fmt.Sprint("127.0.0.1:", 1+i)
		s.store.Put("servers", fmt.Sprint("down-", i), entry)
	}
	time.Sleep(propagationBound / 2)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			if got := s.post(i%2, "/book/1", fmt.Sprint("r-", i)); got.status != http.StatusOK {
				t.Errorf("request %d: status %d, error %v", i, got.status, got.err)
			}
		})
	}
	wg.Wait()
}
